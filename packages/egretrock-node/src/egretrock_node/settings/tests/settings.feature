Feature: Node settings

  Scenario: A fault hides the faults behind it
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

  Scenario: Two listeners on one address fail only at start
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

  Scenario: A key given twice is silently overwritten
    Given this settings file
      """
      caller_address: 127.0.0.1:8000
      caller_address: 127.0.0.1:8001
      """
    When it is loaded
    Then these findings are reported
      | line | path           |
      | 2    | caller_address |

  Scenario: A file that is no YAML ends with a traceback
    Given this settings file
      """
      node: [
      """
    When it is loaded
    Then these findings are reported
      | line | path |
      | 1    |      |

  Scenario: A complete file is refused
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
