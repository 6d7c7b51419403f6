Feature: The daemon

  Scenario: A planned stop cuts off a request that is in flight
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    When the drain starts and 10 seconds pass
    Then it has stopped accepting and has not ended
    When the request completes and 1 second passes
    Then it has handed over before it ended with exit code 0

  Scenario: A node stops accepting before the balancer has taken note
    Given a node with 0 requests in flight, notice 2 s and deadline 30 s
    When the drain starts and 1 second passes
    Then it still accepts

  Scenario: A request that never ends keeps a node from stopping
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    When the drain starts and 31 seconds pass
    Then it has ended with exit code 1 and named the request that was cut

  Scenario: A second signal does not end the stop
    Given a node with 1 request in flight, notice 2 s and deadline 30 s
    When the drain starts and 1 second passes
    And the stop is forced and 1 second passes
    Then it has ended with exit code 1 and named the request that was cut

  Scenario: Two parts get the messages of one type
    Given a router that brings heartbeats to a part
    When a second part is registered for heartbeats
    Then the registration is refused

  Scenario: An adapter that does not exist ends the start with a traceback
    Given settings whose target adapter is "egretrock_node.protocol.http:Nope"
    When the daemon is run with them
    Then it ends with exit code 1 and one line that names "Nope"

  Scenario: A faulty settings file starts a node
    Given settings whose target adapter is "no module"
    When the daemon is run with them
    Then it ends with exit code 2 and one line that names "adapters.target"
