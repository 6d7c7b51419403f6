Feature: A route with weights is divided among its services by all nodes together

  Scenario Outline: The requests of <nodes> nodes have the shares of their weights after <changes> changes
    # Guards against an order of services that starts alike on all nodes, or
    # anew with each change: the heaviest service then gets too much.
    Given <nodes> nodes and routes with the weights 1:1, 4:1, 9:1 and 1:2:5
    When 400 requests for each route arrive at random nodes while targets change <changes> times
    Then each share is within 0.1 of its weight

    Examples:
      | nodes | changes |
      | 1     | 0       |
      | 1     | 9       |
      | 1     | 99      |
      | 19    | 0       |
      | 19    | 9       |
      | 19    | 99      |
      | 101   | 0       |
      | 101   | 9       |
      | 101   | 99      |
      | 312   | 0       |
      | 312   | 9       |
      | 312   | 99      |
      | 1000  | 0       |
      | 1000  | 9       |
      | 1000  | 99      |

  Scenario Outline: A node divides its requests exactly, also after <changes> changes
    # Guards against a division that begins anew when other entries change.
    Given 1 nodes and routes with the weights 1:1, 4:1, 9:1 and 1:2:5
    When 400 requests for each route arrive at random nodes while targets change <changes> times
    Then each share is within 0.0 of its weight

    Examples:
      | changes |
      | 0       |
      | 9       |
      | 99      |
      | 399     |

  Scenario: New weights of a route apply to the next request
    Given 1 nodes and routes with the weights 1:1, 4:1, 9:1 and 1:2:5
    When 40 requests for each route arrive at random nodes while targets change 3 times
    And the weights of all routes become 1:3
    And 40 requests for each route arrive at random nodes while targets change 3 times
    Then each share is within 0.0 of its weight
