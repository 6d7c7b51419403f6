Feature: Load balancing by probing when a request arrives

  Background:
    Given 4 near and 8 far targets with 2 slots each

  Scenario: An idle near target is preferred to a far one
    When a request arrives and all targets are idle
    Then only near targets were probed
    And the request goes to a near target

  Scenario: A fast far target is preferred to a slow near one
    When a request arrives and the near targets run at a fifth of their usual speed
    Then the request goes to a far target

  Scenario: A target with room is preferred to full ones
    When a request arrives and one far target is idle and all others are full
    Then the request goes to the idle target if it was probed

  Scenario: A warm far target is preferred to a cold near one
    When a request arrives and the near targets are cold
    Then the request goes to a far target

  Scenario: A target where another instance answers gets no request
    When a request arrives and other instances answer at the near targets
    Then the request goes to a far target

  Scenario: Unanswered probes delay a request only briefly
    When a request arrives and the near targets do not answer
    Then the request goes to a far target after 0.06 seconds

  Scenario: A request waits while all targets are full
    When a request arrives and all targets and their queues are full
    Then the request waits
    When 0.05 seconds pass and a near target has room
    Then the request goes to a near target

  Scenario: Requests that arrive together are spread over targets
    When 8 requests arrive and all targets are idle
    Then no target gets more than 2 of them

  Scenario: A retry does not go to an excluded target
    When a request arrives that excludes the near targets
    Then the request goes to a far target

  Scenario: A failing target gets few further requests
    When a near target fails 10 requests
    And 20 requests arrive one by one and all targets are idle
    Then the failing target gets at most 1 of them

  Scenario: A cancelled request gets no target
    When a request arrives and is cancelled before the probes are answered
    Then no permit is issued

  Scenario: Probes stay within their budget
    Given a budget of 2 probes per second for each target
    When 400 requests arrive one by one within 4 seconds
    Then at most 130 probes were sent
    And all requests got a target

  Scenario: A node uses only a subset of the targets of a large service
    Given a service of 40 near and 60 far targets and a fleet of 30 near and 90 far nodes
    When 200 requests arrive one by one within 4 seconds
    Then at most 8 targets were probed
    When the targets in the data centre of the node are full and 50 requests arrive
    Then all requests got a target

  Scenario: Each target of a large service is in the subset of some node
    Then each of 40 targets is in the subset of at least one of 30 nodes
    And each of 200 targets is in the subset of at least one of 4 nodes

  Scenario: A new target changes the subsets only slightly
    When a target joins a service of 40 targets that 30 nodes use
    Then each subset changes by at most one target

  # Guards against requests beyond what the home of a limited target granted.
  Scenario: A failed connection allows no further request to a limited target
    Given a service with only one target
    When a request is sent and the target then names a limit of 4 per second
    And 3 more requests wait, one of them is sent, and the connection of the first request fails
    Then no other request is sent within the next 0.2 seconds

  # Guards against limits that are told with the load and not read.
  Scenario: A target that names its limit with its load gets no more than that
    When a near target tells a limit of 4 per second with its load
    And 400 requests arrive one by one within 4 seconds
    Then that target gets at most 29 of them
    And all requests got a target

  # Guards against a node whose requests all wait after an unexpected error.
  Scenario: A target that leaves during a round of probes does not stop the node
    When a target that was probed leaves before its round ends
    And 1 requests arrive one by one within 0.1 seconds
    Then all requests got a target

  # Guards against nodes that all begin with the same targets after a restart.
  Scenario Outline: The first requests of <nodes> nodes are spread over the targets
    When <nodes> nodes that have just started choose a target of 50 for a request
    Then no target gets more than 3 times its share and 5 requests

    Examples:
      | nodes |
      | 19    |
      | 101   |
      | 312   |
      | 1000  |
