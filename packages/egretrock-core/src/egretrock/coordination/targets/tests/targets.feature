Feature: Permits, warm-up and probes in virtual time

  Each scenario runs with messages lost, repeated and reordered unless it
  says otherwise. "behave -D without=NAME" switches one mechanism off, which
  must make the scenarios that guard it fail (steps/seams.py lists them).

  Scenario: Restarts, kills, freezes, cuts and home changes break a ramp
    Given any schedule of faults over 6 nodes and 4 targets
    Then no target had more requests than its ramp allowed
    And no window had more probes than the budget
    And no node sent new work to a target that it knew to be out
    And after the faults every permit came back
    And after the faults every request was served

  Scenario: A target that restarts unnoticed gets the load of a warm one
    Given 18 nodes and 3 warm targets
    When a target restarts while no node has a connection to it
    And each node gets 3 requests
    Then no target had more requests than its ramp allowed

  Scenario: A home that takes over forgets what runs at a cold target
    Given 6 nodes, 1 target and requests of 2 seconds
    When the home moves every 0.7 seconds
    Then no target had more requests than its ramp allowed

  Scenario: A dead node's requests are forgotten at a cold target
    Given 6 nodes, 1 target and requests of 2 seconds
    When each second a node is killed and started again
    Then no target had more requests than its ramp allowed

  Scenario: A new home may probe at once what its predecessor just probed
    Given 6 nodes, 4 targets and a home that moves every 0.15 seconds
    Then no window had more probes than the budget

  Scenario: A frozen node uses the permits that it held when it stopped
    Given 6 nodes, 4 targets and a busy service
    When a node stops with permits in hand and goes on after 1 second
    Then the node may use none of them

  Scenario Outline: A target that is taken out gets new work
    Given 6 nodes, 4 targets and a busy service
    When <change> is published and nodes learn of it within 2 seconds
    Then no node sent new work to a target that it knew to be out
    And 2.5 seconds later the targets taken out are idle
    And the other targets serve

    Examples:
      | change                     |
      | a leaving target           |
      | a data centre that is out  |
      | a removed target           |

  Scenario: A data centre that returns gets its full load at once
    Given 6 nodes, 4 targets and a busy service
    When a data centre goes out and comes back
    Then its targets are on a ramp of 10 seconds

  Scenario: A draining target goes on receiving permits
    Given 6 nodes, 4 targets and a busy service
    When a target reports that it drains
    Then 0.5 seconds later the target is idle

  Scenario: A target that fails at once draws most of the calls
    Given 6 nodes, 4 targets and a busy service
    When a target fails every call at once
    Then it gets at most 6 calls a second

  Scenario: Load reports that lag raise the load of a target
    Given 6 nodes, 4 targets and a busy service
    When every probe reports idle targets with 100 slots
    Then no target had more requests than twice its slots and its queue
    And no report has raised the limit of a target

  Scenario: A node without a home stops serving warm targets
    Given 6 nodes, 4 targets and a busy service
    When no node holds the partition for 3 seconds
    Then requests were served in those 3 seconds
    And no node had more than its share at a target

  Scenario: Slots stay idle while grants and reports travel
    Given 6 nodes, 4 targets of 6 slots and a load of 0.9
    Then the 95th percentile of the wait for a permit is below 20 ms

  Scenario: A low load costs messages for each call
    Given 6 nodes, 4 targets and a service at a tenth of its slots
    Then there are less than 2 messages a call

  Scenario: A message outgrows its datagram
    Given 30 targets with long names and a burst of 2000 requests
    Then no message is larger than 1250 bytes

  Scenario: A permit that was lost and is not needed any more stays out
    Given 6 nodes whose requests are cancelled while their permits get lost
    Then the permits are free 1 second later

  Scenario: A lost permit or report occupies its target for good
    Given 6 nodes, 4 targets and a third of all messages lost
    Then after the faults every permit came back
    And after the faults every request was served

  Scenario: A repeated or late message counts a request twice
    Given 6 nodes, 4 targets and half of all messages repeated and late
    Then the home counts every request in flight
    And after the faults every permit came back
