Feature: Choice of a target by probing on arrival

  Background:
    Given 4 near and 8 far targets with 2 slots each

  Scenario: An idle near target is passed over for a far one
    When a request arrives and all targets are idle
    Then only near targets were asked
    And the request goes to a near target

  Scenario: A slow near target is taken although a far one is fast
    When a request arrives and the near targets run at a fifth of their pace
    Then the request goes to a far target

  Scenario: A full target is taken although another has room
    When a request arrives and one far target is idle and the others full
    Then the request goes to the idle target if it was asked

  Scenario: A cold target gets a request
    When a request arrives and the near targets are cold
    Then the request goes to a far target

  Scenario: A target that is not the instance asked for gets a request
    When a request arrives and other instances answer at the near targets
    Then the request goes to a far target

  Scenario: A silent target holds a request up
    When a request arrives and the near targets do not answer
    Then the request goes to a far target after 0.06 seconds

  Scenario: A request is sent into full targets
    When a request arrives and all targets are full and their queues too
    Then the request waits
    When 0.05 seconds pass and a near target has room
    Then the request goes to a near target

  Scenario: Requests that arrive together go to the same target
    When 8 requests arrive and all targets are idle
    Then no target gets more than 2 of them

  Scenario: A retry goes to the target that failed
    When a request arrives that must not go to the near targets
    Then the request goes to a far target

  Scenario: A target that fails its requests gets more of them
    When a near target fails 10 requests
    And 20 requests arrive in turn and all targets are idle
    Then the failing target gets at most 1 of them

  Scenario: A withdrawn request gets a target
    When a request arrives and is withdrawn before the answers
    Then no permit is given out

  Scenario: More probes are sent than the budget allows
    Given a budget of 2 probes a second for each target
    When 400 requests arrive in turn within 4 seconds
    Then at most 130 probes were sent
    And all requests got a target

  Scenario: A node keeps connections to all targets of a large service
    Given a service of 40 near and 60 far targets and a fleet of 30 near and 90 far nodes
    When 200 requests arrive in turn within 4 seconds
    Then at most 8 targets were asked
    When the targets of its own data centre are full and 50 requests arrive
    Then all requests got a target

  Scenario: A target of a large service is in the subset of no node
    Then each of 40 targets is in the subset of some of 30 nodes
    And each of 200 targets is in the subset of some of 4 nodes

  Scenario: A target that joins moves the subsets of all nodes
    When a target joins a service of 40 and 30 nodes use it
    Then each subset changes by at most one target
