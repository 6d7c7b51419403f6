Feature: Permits, warm-up and probes in virtual time

  Unless a scenario says otherwise, messages are lost, repeated and reordered.
  "behave -D without=NAME" disables a mechanism; the scenarios that test the
  mechanism must then fail (steps/seams.py lists the names).

  Scenario: Restarts, kills, pauses, partitions and home changes let no target exceed its ramp
    Given any schedule of faults over 6 nodes and 4 targets
    Then no target had more requests than its ramp allowed
    And no window had more probes than the budget
    And no node sent new work to a target that it knew to be out of service
    And after the faults every permit is returned
    And after the faults every request is served

  Scenario: A target that restarts unnoticed gets only the load of a cold one
    Given 18 nodes and 3 warm targets
    When a target restarts while no node has a connection to it
    And each node gets 3 requests
    Then no target had more requests than its ramp allowed

  Scenario: A new home counts the requests that already run at a cold target
    Given 6 nodes, 1 target and requests of 2 seconds
    When the home moves every 0.7 seconds
    Then no target had more requests than its ramp allowed

  Scenario: Requests of a dead node still count at a cold target
    Given 6 nodes, 1 target and requests of 2 seconds
    When a node is killed and restarted every second
    Then no target had more requests than its ramp allowed

  Scenario: A change of home stays within the probe budget
    Given 6 nodes, 4 targets and a home that moves every 0.15 seconds
    Then no window had more probes than the budget

  Scenario: A node that resumes from a pause cannot use its old permits
    Given 6 nodes, 4 targets and a busy service
    When a node that holds permits freezes and resumes after 1 second
    Then the node may use none of them

  Scenario Outline: A target taken out of service gets no new work
    Given 6 nodes, 4 targets and a busy service
    When <change> is published and reaches the nodes within 2 seconds
    Then no node sent new work to a target that it knew to be out of service
    And 2.5 seconds later the targets taken out of service are idle
    And the other targets serve requests

    Examples:
      | change                     |
      | a leaving target           |
      | a data centre that is out  |
      | a removed target           |

  Scenario: The targets of a data centre that returns to service follow a ramp
    Given 6 nodes, 4 targets and a busy service
    When a data centre goes out of service and returns
    Then its targets follow a ramp of 10 seconds

  Scenario: A draining target gets no more permits
    Given 6 nodes, 4 targets and a busy service
    When a target reports that it is draining
    Then 0.5 seconds later the target is idle

  Scenario: A target that fails its calls immediately gets few of them
    Given 6 nodes, 4 targets and a busy service
    When a target fails every call immediately
    Then it gets at most 6 calls per second

  Scenario: Load reports that are out of date do not raise the load of a target
    Given 6 nodes, 4 targets and a busy service
    When every probe reports idle targets with 100 slots
    Then no target had more requests than twice its slots plus its queue
    And no report raised the limit of a target

  Scenario: A node without a home still sends requests to warm targets
    Given 6 nodes, 4 targets and a busy service
    When no node holds the partition for 3 seconds
    Then requests were served in those 3 seconds
    And no node had more than its share at a target

  Scenario: Slots stay in use while grants and reports are in transit
    Given 6 nodes, 4 targets of 6 slots and a load of 0.9
    Then the 95th percentile of the wait for a permit is below 20 ms

  Scenario: A low load needs few messages per call
    Given 6 nodes, 4 targets and a load of a tenth of the slots
    Then there are fewer than 2 messages per call

  Scenario: Every message fits its datagram
    Given 30 targets with long names and a burst of 2000 requests
    Then no message is larger than 1250 bytes

  Scenario: A permit that was lost and is no longer needed is returned
    Given 6 nodes whose requests are cancelled while their permits are lost
    Then the permits are returned 1 second later

  Scenario: A lost permit or report does not occupy its target permanently
    Given 6 nodes, 4 targets and a third of all messages lost
    Then after the faults every permit is returned
    And after the faults every request is served

  Scenario: A repeated or late message does not corrupt the count of requests
    Given 6 nodes, 4 targets and half of all messages repeated and delayed
    Then the home counts every request in flight
    And after the faults every permit is returned

  # Guards against a warm-up whose length a target has copied at its start.
  Scenario Outline: A changed warm-up applies to a target that is warming up
    Given a target with 8 slots that started 4 seconds ago, with a warm-up of <first> seconds
    When the warm-up becomes <second> seconds
    Then its limit is <limit>

    Examples:
      | first | second | limit |
      | 4     | 8      | 4     |
      | 8     | 4      | 8     |
      | 80    | 8      | 4     |
