Feature: Reading the platform's configuration service

  Scenario: A read confirms at its receipt and not at its send
    Given a platform that answers after 0.3 s
    When the reader has handed on 2 reads
    Then each read was sent at least 0.3 s before it was handed on

  Scenario Outline: A faulty answer ends the watch or reaches the fleet
    Given a platform that first answers <fault>
    When the reader has handed on 2 reads
    Then 2 reads failed and no other value was handed on

    Examples:
      | fault             |
      | status 500        |
      | text that is not JSON |
      | a revision that is text |
      | 3 megabytes       |
      | half of a body    |
      | 304 without revision |
      | an unfinished head |

  Scenario: An error in the node ends the watch
    Given a platform that answers after 0.0 s
    And a sink that raises at the first read of each document
    When the reader has handed on 2 reads
    Then 2 reads failed and no other value was handed on

  Scenario: A platform that answers each watch at once is called without pause
    Given a platform that answers after 0.0 s
    When the reader runs for 1.1 s
    Then the platform was called between 6 and 14 times

  Scenario: All nodes call a platform that comes back in step
    Given no platform
    When the reader runs for 1.1 s
    Then between 4 and 12 reads failed at irregular times
