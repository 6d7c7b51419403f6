Feature: Connections to targets

  Scenario: A broken answer looks complete to the caller
    Then each of 4 answers that break in the body breaks at the caller

  Scenario: An answer in doubt is passed on
    Then each of 9 malformed answers gives 502 with run state unknown

  Scenario: A broken answer looks complete to a caller of HTTP 1.0
    Then its connection is reset

  Scenario: Bytes after an answer are taken for the next answer
    Then the next request gets its own answer on another connection

  Scenario: A connection is made for each request
    Then 20 requests in turn use 1 connection

  Scenario: A request is sent on a connection that the target has closed
    Then the next payout is answered, and the permits part is told

  Scenario: A caller that leaves keeps its request running
    Then the target's connection is closed, before and during the answer

  Scenario: A late answer reaches the next request
    Then the caller gets 504, and the next request its own answer

  Scenario: A silent connection is used again, and its siblings
    Then another target answers, the old connections are closed
    And the silent target is told to cancel on a fresh connection

  Scenario: A non-idempotent request is sent twice
    Then a payout whose connection is lost is sent once
    And 20 payouts on connections that close as they are sent run once

  Scenario: A refused connection counts as a request that may have run
    Then a payout is answered by the other target, and else not_run

  Scenario: An idempotent request is not tried at a second target
    Then it arrives there with its whole body

  Scenario: A shed request counts as run
    Then a shed payout gives not_run, and the connection is kept
    And a connection with an unfinished shed answer is closed

  Scenario: A target sees a key
    Then keys in 12 forms are accepted and reach no target

  Scenario: A target takes a caller's word for its organisation
    Then it sees the organisation of the key, and no posing fields

  Scenario: A withdrawn key works on an open connection or in the queue
    Then the open connection gets 401, and so does the waiting request

  Scenario: An answer before the end of an upload blocks the connection
    Then the caller gets it, and the target no whole request

  Scenario: Reading a small resource of a target waits for ever
    Then the node gets a body, a failure in time and a refusal

  Scenario: The first request of a service is given up because it takes long
    Then a read that takes 1.4 s at a fresh node is answered by its first try
