Feature: The daemon

  Scenario: A drain completes a request that is in flight
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    When the drain starts and 10 seconds pass
    Then it has stopped accepting and has not ended
    When the request completes and 1 second passes
    Then it has completed the handover before it ended with exit code 0

  Scenario: A draining node accepts until the load balancer has noticed
    Given a node with 0 requests in flight, notice 2 s and deadline 30 s
    When the drain starts and 1 second passes
    Then it still accepts

  Scenario: A drain aborts a request that exceeds the deadline
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    When the drain starts and 31 seconds pass
    Then it has ended with exit code 1 and named the aborted request

  Scenario: A drain that a second signal forces to end aborts its request
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    When the drain starts and 1 second passes
    And the drain is forced to end and 1 second passes
    Then it has ended with exit code 1 and named the aborted request

  # Guards against a stop that never ends because one request cannot be aborted.
  Scenario: A drain ends although aborting the requests raises
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    And its requests cannot be aborted
    When the drain starts and 32 seconds pass
    Then it has completed the handover before it ended with exit code 0

  Scenario: A message type is registered for one part only
    Given a router that delivers heartbeats to a part
    When a second part is registered for heartbeats
    Then the registration is refused

  Scenario: An adapter that does not exist is reported in one line
    Given settings whose target adapter is "egretrock_node.protocol.http:Nope"
    When the daemon is run with these settings
    Then it ends with exit code 1 and one line that names "Nope"

  Scenario: No node starts with invalid settings
    Given settings whose target adapter is "no module"
    When the daemon is run with these settings
    Then it ends with exit code 2 and one line that names "adapters.target"
