Feature: Loads of a service whose targets name limits

  16 nodes get 185 requests per second for 12 targets of 6 slots. A request takes
  0.07 s, has its full value within 0.2 s and a deadline of 0.6 s.

  # Pattern: some targets are in need, the others have room for their load.
  Scenario Outline: Callers do not notice the limits of some targets
    Given a service of which <count> targets name a limit of 4 per second
    When the load is played for 12 seconds
    Then no target gets more than 29 requests in any 4 seconds of its limit
    And every request is answered, 99 of 100 within 0.2 seconds

    Examples:
      | count |
      | 2     |
      | 6     |

  # Pattern: the limits of all targets are below the load.
  Scenario: Limits of all targets are used, and the rest is refused early
    Given a service of which 12 targets name a limit of 4 per second
    When the load is played for 12 seconds
    Then no target gets more than 29 requests in any 4 seconds of its limit
    And at least 36 requests per second are answered
    And no request waits until its deadline
    And refused requests wait 0.1 seconds on average
