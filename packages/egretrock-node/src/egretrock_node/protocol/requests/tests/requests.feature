Feature: The request pipeline

  A payout stands for a request that must not run twice.

  Background:
    Given a pipeline

  Scenario Outline: A request is refused if a condition changes while it waits for a permit
    When a request waits for a permit
    And meanwhile <change>
    Then it is not sent but refused with <code> and run state not_run

    Examples:
      | change                              | code              |
      | the node's configuration is too old | node_not_fresh    |
      | the key is revoked                  | key_unknown       |
      | the deadline passes                 | deadline_exceeded |
      | the request is quarantined          | crash_quarantine  |
      | the target leaves                   | no_target         |
      | the data centre is taken out        | no_target         |
      | each permit expires                 | no_target         |
      | the queue evicts it for another     | queue_full        |

  Scenario Outline: A request is refused if a condition changes while its connection is made
    When a request waits for a connection
    And meanwhile <change>
    Then it is not sent but refused with <code> and run state not_run

    Examples:
      | change                              | code              |
      | the node's configuration is too old | node_not_fresh    |
      | the key is revoked                  | key_unknown       |
      | the deadline passes                 | deadline_exceeded |

  # Guards against requests without an end behind one that raises at each tick.
  Scenario: An exception of one request does not stop the others
    When a request waits whose caller raises
    And a request waits for a permit
    And meanwhile the deadline passes
    Then it is not sent but refused with deadline_exceeded and run state not_run

  # Guards against requests that are sent late in a planned stop and then cut.
  Scenario: A request that waits until late in a drain is refused, not sent
    When a request is answered after 0.5 seconds
    And a request waits for a permit
    And meanwhile the node has 1 second left
    Then it is not sent but refused with node_draining and run state not_run

  Scenario: A request is sent in a drain while there is time for its answer
    When a request is answered after 0.5 seconds
    And a request waits for a permit
    And meanwhile the node has 2 seconds left
    Then the waiting request is sent

  Scenario: A request on an open route is not sent to a target that has left
    When a request on an open route waits for a permit
    And meanwhile the target leaves
    Then it is not sent but refused with no_target and run state not_run

  Scenario: A request is sent to the new address of a target that has moved
    Then a request whose target has moved is sent to the new address

  Scenario Outline: A request is refused at its start
    When <change>
    And a request starts
    Then it is not sent but refused with <code> and run state not_run

    Examples:
      | change                              | code             |
      | the node's configuration is too old | node_not_fresh   |
      | the node is not ready               | node_not_ready   |
      | the node refuses new requests       | node_draining    |
      | no configuration is known           | node_not_ready   |
      | the organisation is over its rate   | over_rate        |
      | the request is quarantined          | crash_quarantine |

  Scenario: A request waits while tokens for it are requested
    Then 2 requests that wait for tokens are sent in order once they arrive

  Scenario: A request waits for tokens for a limited time
    Then 2 requests that wait for tokens are refused after 10 ms without tokens

  Scenario: A data centre that is out of service is served for a grace period
    When the data centre is taken out
    Then requests to targets in another data centre are sent for 5 s and no longer

  Scenario: A refusal after an attempt that lost its connection reports unknown
    When a request is sent, its connection lost, and a retry waits
    And meanwhile the node's configuration is too old
    Then it is refused with node_not_fresh and run state unknown

  Scenario: A refusal after shed attempts reports not_run
    When a request is sent and shed by both targets
    Then it is refused with target_refused and run state not_run

  Scenario: Permits are given in the order of the queue
    When 3 requests wait and the queue prefers the newest
    Then the permits go to the requests 3, 2, 1

  Scenario: The turn of a request whose caller has left goes to the next request
    When 3 requests wait and the caller of the second leaves
    Then the permits go to the requests 1, 3

  Scenario: A permit that no waiting request can use is given back
    When the queue declines a permit for a request
    Then no attempt was made and the permit was returned unused
    And the request is sent 20 ms later, once the queue takes a permit

  Scenario: A caller that leaves after its permit was declined is forgotten
    When the queue declines a permit for a request
    And its caller leaves
    Then no attempt was made and the permit was returned unused
    And no permit is requested 20 ms later

  Scenario: A repeat waits in the queue with the targets that it excludes
    When a request is sent to a target that sheds it
    Then the queue got a repeat that excludes this target

  Scenario Outline: The queue gets the priority of the organisation or the route
    Given a route of priority 2 and an organisation of priority <organisation>
    When its request is queued
    Then the queue got a request of priority <priority>

    Examples:
      | organisation | priority |
      | none         | 2        |
      | 1            | 1        |
      | 0            | 0        |

  Scenario: A request with a repeated idempotency key does not run again
    When a payout with an idempotency key is answered
    And the same payout is sent again
    Then it is refused with duplicate_request and run state run
    And the record was completed once, as run with status 200

  Scenario: A payout with an idempotency key is refused if its record is unavailable
    When no node knows whether a key was used
    And a payout with an idempotency key starts
    Then it is not sent but refused with idempotency_unavailable and run state not_run

  Scenario: A payout with an idempotency key is not sent once its record may be lost
    Then a payout that waits 0.5 s after it requested its record is not sent

  Scenario: A payout whose caller has left releases its idempotency key
    Then the record is released once the answer about it arrives

  Scenario: A payout that was refused releases its idempotency key
    When the organisation is over its rate
    And a payout with an idempotency key starts
    Then it is not sent but refused with over_rate and run state not_run
    And the record was completed once, as not_run with status none

  Scenario Outline: A target that ends during a request is evidence of a crash
    When a request is sent and its connection lost
    And <proof>
    Then there is evidence against the request at instance i1

    Examples:
      | proof                                  |
      | the target refuses connections         |
      | another instance of the target answers |

  Scenario: A lost connection alone is no evidence of a crash
    When a request is sent and its connection lost
    And the same instance of the target answers
    Then there is no evidence

  Scenario: An abandoned attempt does not answer the request
    Then a silent target's late answer reaches no caller

  Scenario: A body larger than the buffer is not sent again
    When a body larger than the buffer is sent and the connection lost
    Then it is refused with target_failed and run state unknown

  Scenario: The bodies of waiting requests stay within the memory budget
    Then 100 waiting bodies of 60 KB hold at most 2 MB, and all is freed

  Scenario: A stop reports the requests that it aborts
    Then the report of a stop lists the sent request as unknown and the queued one as not_run

  # Guards against a request of one organisation that is refused and lets its
  # caller's next one serve those of all organisations meanwhile.
  Scenario: Waiting requests are served while others are being refused
    Given waiting requests of two organisations, one of which has no token
    When serving them refuses the first, which serves them again
    Then the second is sent on once

  Scenario: A request of a route without a target latency has no stake
    When a read is answered after 0.2 s, then another read and a payout arrive
    Then permits are asked for without a stake

  Scenario: A request for a permit says what is at stake
    Given routes with a target latency of 2 s
    When a read is answered after 0.2 s, then another read and a payout arrive
    Then permits are asked for with a work of 0.2 s for a repeatable request, and of unknown time for one that may run once
