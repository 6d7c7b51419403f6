Feature: The choice of a target by what a request has at stake

  Three kinds of requests arrive at nodes in three data centres: "urgent" ones
  that may run once, with an aim of 2.5 times their work, "read" ones that may be
  repeated, with one of 3.5 times, and "slack" ones with one of 7 times. The
  same load is played with and without stakes, evidence of the fleet and
  knowledge of open connections.

  # Pattern: a third of the targets is five times slower for 150 ms, each time
  # elsewhere.
  Scenario: Slow moments make few requests late
    Given 12 nodes and 36 targets of which 0.33 are slow at any moment
    When the load is played
    Then at most 0.01 of the requests of each kind are late
    And fewer connections are opened than without stakes

  # Pattern: more targets are slow than not.
  Scenario: Urgent requests are late less often where most targets are slow
    Given 12 nodes and 36 targets of which 0.7 are slow at any moment
    When the load is played
    Then fewer "urgent" requests are late than without stakes
    And at most 0.02 of the "slack" requests are late

  # Pattern: half of the targets lose half of the answers.
  Scenario: Requests that may run once avoid targets that lose answers
    Given 12 nodes and 36 targets of which 0.5 lose 0.5 of the answers
    When the load is played
    Then at most 0.7 times as many "urgent" requests fail as without stakes
    And fewer second attempts are made than without stakes

  # Pattern: a tenth of the targets fails nearly all requests.
  Scenario: Requests that may run once avoid a few targets that fail
    Given 12 nodes and 36 targets of which 0.1 lose 0.9 of the answers
    When the load is played
    Then at most 0.7 times as many "urgent" requests fail as without stakes

  # Pattern: callers ask for all slots of the service.
  Scenario: A full service serves each kind as well as without stakes
    Given 12 nodes and 36 targets whose slots are all asked for
    When the load is played
    Then at most 0.05 of the requests of each kind are late

  Scenario: A calm service is served over connections that are open
    Given 12 nodes and 36 targets
    When the load is played
    Then no request is late or fails
    And at most half as many connections are opened as without stakes
    And no more probes are sent than without stakes

  # Guards against pools that settle on a part of the targets.
  Scenario Outline: <nodes> nodes use all targets, also one that joins
    Given <nodes> nodes and 60 targets
    When the load is played and a target joins
    Then each target got a request
    And the new one got its first request within 4 s

    Examples:
      | nodes |
      | 19    |
      | 101   |
      | 312   |

  # One node, one request.

  Scenario: Of targets that are equally good one with an open connection is chosen
    Given a node with a connection to t1 of 4 near targets
    When an urgent request arrives and t0 is 5% faster than t1
    Then the request is sent to t1

  Scenario: A better target is worth a new connection
    Given a node with a connection to t1 of 4 near targets
    When an urgent request arrives and t0 is 20% faster than t1
    Then the request is sent to t0

  Scenario: An urgent request waits for a target that is not slow
    Given a node with a connection to t1 of 4 near targets
    When an urgent request arrives and all targets are 4 times slower
    Then the request waits for 0.05 s
    When all targets are as fast as usual again
    Then the request is sent to any target

  Scenario: A request is not held back once no target could answer on time
    Given a node with a connection to t1 of 4 near targets
    When an urgent request arrives and all targets are 4 times slower
    Then the request is sent to any target within 0.15 s

  Scenario: A request is not sent where it would end after its deadline
    Given a node with a connection to t1 of 4 near targets
    When an urgent request arrives and all targets are 20 times slower
    Then the request waits for 0.5 s

  Scenario: A request with slack takes a slow target
    Given a node with a connection to t1 of 4 near targets
    When a slack request arrives and all targets are 4 times slower
    Then the request is sent to any target within 0.05 s

  Scenario: A target out of service gets no request while others have room
    Given a node whose evidence has t0, t1 and t2 out of service
    When 40 urgent requests arrive one by one
    Then all of them are sent to t3

  Scenario: A target out of service is tried by a request that may be repeated
    Given a node whose evidence has t0, t1 and t2 out of service
    When 1 try is granted and 40 slack requests arrive one by one
    Then 1 of them is sent to a target out of service

  Scenario: Targets out of service are used if there are no others
    Given a node whose evidence has all targets out of service
    When an urgent request arrives and all targets are idle
    Then the request is sent to any target within 0.15 s

  Scenario: A second attempt goes to the target that is least likely to fail
    Given a node whose evidence has a failure rate of 0.2 for all targets but t3
    When a second attempt arrives and t3 is 1.4 times slower than the others
    Then the request is sent to t3

  Scenario: A second attempt does not wait behind first ones
    Given a node with a connection to t1 of 4 near targets
    When all targets are full, 20 slack requests wait and then a second attempt
    And room for one request is left
    Then the second attempt is sent

  Scenario: An urgent request does not rely on the last reading of a target that may be slow
    Given a node without probes left, and readings that are 0.3 s old
    When an urgent request arrives
    Then a probe is sent for it
    When a slack request arrives then
    Then no probe is sent for it

  Scenario: The outcome of each attempt is recorded as evidence
    Given a node whose evidence has a failure rate of 0.2 for all targets but t3
    When an urgent request is sent and its answer is lost
    Then the evidence has a lost answer at its target
    And the failure rate of the permit did not raise its expected slowdown
