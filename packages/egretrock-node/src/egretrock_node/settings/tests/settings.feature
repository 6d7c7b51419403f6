Feature: Node settings

  Scenario: Missing, unknown and malformed fields are reported together
    Given this settings file
      """
      node:
        peer_address: localhost:7000
        data_centre: 5
      caller_address: 127.0.0.1:8000
      operator_address: 127.0.0.1:8000
      freshness_s: 0
      platfrom:
        address: 127.0.0.1:2000
      """
    When it is loaded
    Then these findings are reported
      | line | path             |
      | 0    | platform         |
      | 3    | node.data_centre |
      | 6    | freshness_s      |
      | 7    | platfrom         |

  Scenario: A host name and two listeners on one address are reported
    Given this settings file
      """
      node:
        peer_address: localhost:7000
        data_centre: east
      caller_address: 127.0.0.1:8000
      operator_address: 127.0.0.1:8000
      platform:
        address: 127.0.0.1:2000
      """
    When it is loaded
    Then these findings are reported
      | line | path              |
      | 2    | node.peer_address |
      | 5    | operator_address  |

  Scenario: A duplicate key is reported
    Given this settings file
      """
      caller_address: 127.0.0.1:8000
      caller_address: 127.0.0.1:8001
      """
    When it is loaded
    Then these findings are reported
      | line | path           |
      | 2    | caller_address |

  Scenario: A file that is not YAML is reported with its line
    Given this settings file
      """
      node: [
      """
    When it is loaded
    Then these findings are reported
      | line | path |
      | 1    |      |

  Scenario: A complete file is accepted
    Given this settings file
      """
      node:
        peer_address: 127.0.0.1:7000
        data_centre: east
      caller_address: 127.0.0.1:8000
      operator_address: 127.0.0.1:8001
      platform:
        address: 127.0.0.1:2000
      """
    When it is loaded
    Then the settings are accepted

  Scenario Outline: A settings file that cannot be read in bounded time is refused
    # Guards against a check or a start that does not end.
    Given a settings file of <text>
    When it is loaded
    Then the only finding says "<message>"

    Examples:
      | text                       | message                    |
      | aliases that multiply      | more than 100000 values    |
      | an alias of itself         | more than 100000 values    |
      | nested lists               | nested too deeply          |
      | nested maps                | nested too deeply          |
      | 2 megabytes                | more than 1048576 bytes    |
