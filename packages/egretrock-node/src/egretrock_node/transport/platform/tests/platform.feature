Feature: Reading the platform's configuration service

  Scenario: A read confirms its document as of the time it was sent
    Given a platform that answers after 0.3 s
    When the reader has delivered 2 reads
    Then each read was sent at least 0.3 s before it was delivered

  Scenario Outline: An invalid answer is dropped and the watch continues
    Given a platform that first answers <fault>
    When the reader has delivered 2 reads
    Then 2 reads failed and no other value was delivered

    Examples:
      | fault             |
      | status 500        |
      | text that is not JSON |
      | a revision that is text |
      | 3 megabytes       |
      | a truncated body  |
      | 304 without revision |
      | an incomplete head |

  Scenario: An exception in the node does not end the watch
    Given a platform that answers after 0.0 s
    And a sink that raises at the first read of each document
    When the reader has delivered 2 reads
    Then 2 reads failed and no other value was delivered

  Scenario: Calls to a platform that answers each watch immediately are limited
    Given a platform that answers after 0.0 s
    When the reader runs for 1.1 s
    Then the platform was called between 6 and 14 times

  Scenario: The reads of a platform that is down are retried with jitter
    Given no platform
    When the reader runs for 1.1 s
    Then between 4 and 12 reads failed at irregular times
