Feature: The coordination parts keep their bounds under random schedules

  Scenario Outline: A seed breaks a bound
    When the search plays seeds <first> to <last> with <nodes> nodes
    Then no bound is broken

    Examples:
      | first | last | nodes |
      | 1001  | 1012 | 16    |
      | 2001  | 2002 | 40    |

  # Seeds that failed on 2026-12-04: nodes that stop as planned were not counted
  # (59, 67, 179), processes that started behind a cut took their side for the
  # fleet (94, 129), a pool was refilled by the share reached later (4, 62, 140,
  # 153, 184, 260).
  Scenario Outline: A seed that failed once fails again
    When the search plays seeds <seed> to <seed> with 16 nodes
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
    When the search plays seeds 293 to 293 with 16 nodes
    Then no bound is broken

  Scenario: The search finds nothing where a mechanism is missing
    Given homes that give out the whole rate whatever they reach
    When the search plays seeds 293 to 300 with 16 nodes
    Then the bound on the rate is broken

  Scenario: Two runs of one seed differ
    When the search plays seeds 293 to 293 with 16 nodes
    And the search plays the same seeds again
    Then both runs saw the same
