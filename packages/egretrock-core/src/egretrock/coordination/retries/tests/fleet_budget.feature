Feature: A retry budget that a fleet of any size shares

  # Pattern: after a calm minute a service sheds everything, so each node wants
  # a retry for each of its requests at the same time. Where a share of less
  # than one token is rounded up, the nodes have saved more than the budget.
  Scenario Outline: Nodes together keep the budget, and can use half of it
    Given <nodes> nodes that share 430 retries in 10 s and 0.2 for each request
    When every request fails after a calm minute, at <rate> requests a second
    Then no window of 10 s has more retries than the budget
    And the busiest window has at least half of the budget

    Examples:
      | nodes | rate |
      | 1     | 400  |
      | 17    | 400  |
      | 133   | 400  |
      | 312   | 400  |
      | 1000  | 200  |

  Scenario: Nodes that restart together keep the budget
    Given 312 nodes that share 430 retries in 10 s and 0.2 for each request
    When every request fails after a calm minute, at 400 requests a second, and all nodes restart 15 s later
    Then no window of 10 s has more retries than the budget
