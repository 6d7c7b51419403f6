Feature: The coordination parts keep their bounds under random faults

  Scenario Outline: Random fault schedules break no bound
    When the search runs seeds <first> to <last> with <nodes> nodes
    Then no bound is broken

    Examples:
      | first | last | nodes |
      | 1001  | 1012 | 16    |
      | 2001  | 2002 | 40    |

  # Seeds that once broke a bound: draining nodes were not counted (59, 67,
  # 179), processes that started during a partition mistook their side for
  # the whole fleet (94, 129), a token pool was refilled by the share of the fleet
  # that was reached later (4, 62, 140, 153, 184, 260).
  Scenario Outline: Seeds that once broke a bound break none
    When the search runs seeds <seed> to <seed> with 16 nodes
    Then no bound is broken

    Examples:
      | seed |
      | 4    |
      | 59   |
      | 62   |
      | 67   |
      | 94   |
      | 129  |
      | 140  |
      | 153  |
      | 179  |
      | 184  |
      | 260  |

  @known_red
  Scenario: A side with all seeds and only new processes gives out the rate
    When the search runs seeds 293 to 293 with 16 nodes
    Then no bound is broken

  # Guards against a target that gets more than the limit it named.
  Scenario Outline: Random fault schedules break no limit of a target
    When the search of target limits runs seeds <first> to <last> with <nodes> nodes
    Then no bound is broken

    Examples:
      | first | last | nodes |
      | 1001  | 1012 | 16    |
      | 2001  | 2002 | 40    |
      | 3001  | 3008 | 5     |

  Scenario: The search finds a violation where nodes do not share a limit
    Given nodes that each grant the whole limit
    When the search of target limits runs seeds 1001 to 1002 with 16 nodes
    Then the limit of the target is broken

  Scenario: The search finds a violation where a mechanism is missing
    Given homes that grant the whole rate whatever share of the fleet they reach
    When the search runs seeds 293 to 300 with 16 nodes
    Then the bound on the rate is broken

  Scenario: Two runs of one seed have the same result
    When the search runs seeds 293 to 293 with 16 nodes
    And the search runs the same seeds again
    Then both runs have the same results
