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

  # Pattern: a node serves few requests, and several of them lose their answer
  # within a moment.
  Scenario: A node with few requests may repeat several at the same moment
    Given 43 nodes that share 176 retries in 10 s and 0.2 for each request, and may save them
    When one of them serves 9 requests a second for 10 s, and then 4 fail at once
    Then 3 of these are sent again

  Scenario Outline: Saved retries keep the budget of the fleet
    Given <nodes> nodes that share 430 retries in 10 s and 0.2 for each request, and may save them
    When every request fails after a calm minute, at <rate> requests a second
    Then no window of 10 s has more retries than the budget
    And the busiest window has at least half of the budget

    Examples:
      | nodes | rate |
      | 19    | 400  |
      | 101   | 400  |
      | 312   | 400  |

  # Pattern: bursts half a window apart; the first one succeeds and each
  # request of the second fails, so that all is spent that was saved.
  Scenario Outline: Saved retries keep the budget where load comes in bursts
    Given <nodes> nodes that share 430 retries in 10 s and 0.2 for each request, and may save them
    When 800 requests a second come in bursts of 5 s, and each one of every second burst fails
    Then no window of 10 s has more retries than its requests, or those of the windows before, allow

    Examples:
      | nodes |
      | 19    |
      | 101   |
      | 312   |

  Scenario Outline: Saved retries keep the budget after a restart of all nodes
    Given <nodes> nodes that share 430 retries in 10 s and 0.2 for each request, and may save them
    When every request fails after a calm minute, at 400 requests a second, and all nodes restart 15 s later
    Then no window of 10 s has more retries than the budget

    Examples:
      | nodes |
      | 19    |
      | 101   |
      | 312   |
