Feature: Connections to targets

  Scenario: A truncated or malformed body never looks complete to the caller
    Then each of 4 answers with a broken body is incomplete at the caller

  Scenario: An answer with a malformed head or framing is not passed on
    Then each of 9 malformed answers gives 502 with run state unknown

  # Guards against a status that is no status of HTTP reaching a caller, for
  # instance the 000 of a failing target.
  Scenario Outline: An answer whose status is out of range is not passed on
    Then a caller gets 502 with run state unknown when a target answers "<status>"
    And a payout answered "<status>" is sent once and gets 502

    Examples:
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 600    |
      | 999    |
      | 20     |
      | 0200   |
      | 2 0    |
      | -01    |

  # Guards against empty or short bodies that look complete to the caller.
  Scenario Outline: An answer that ends within its head or body is not passed on
    Given targets that may end an answer by closing the connection
    Then no beginning of an answer with <framing> is a success for the caller

    Examples:
      | framing  |
      | a length |
      | chunks   |

  Scenario Outline: Bytes without end from a target end the request
    Then a caller gets <end> within 2 s when a target sends <bytes> without end

    Examples:
      | bytes                  | end                  |
      | a status line          | 502                  |
      | header fields          | 502                  |
      | interim answers        | 502                  |
      | a size line of a chunk | an incomplete answer |
      | trailer fields         | an incomplete answer |

  Scenario: A truncated answer does not look complete to an HTTP/1.0 caller
    Then the caller's connection is reset

  Scenario: Extra bytes after an answer do not become the next answer
    Then the next request gets its own answer on another connection

  Scenario: Consecutive requests reuse a connection
    Then 20 consecutive requests use 1 connection

  Scenario: No request is sent on a connection that the target has closed
    Then the next payout is answered and the permit client is notified

  # Guards against requests that cross the close of an idle connection.
  Scenario: A connection is not used for longer than its target keeps it
    Given a target that keeps idle connections for 1 second
    When a request is answered and another follows after 0.9 seconds
    Then the second request is sent on a new connection

  Scenario: A caller that disconnects cancels its request
    Then the target's connection is closed, both before and during the answer

  Scenario: A late answer does not reach the next request
    Then the caller gets 504, and the next request gets its own answer

  Scenario: After a timeout, connections without an answer since are not used again
    Then another target answers and the old connections are closed
    And the silent target is told to cancel on a new connection

  Scenario: A non-idempotent request is sent at most once
    Then a payout whose connection is lost is sent once
    And each of 20 payouts sent while the connection closes runs at most once

  Scenario: A request whose connection is refused has not run
    Then a payout is answered by another target, or refused as not_run

  Scenario: An idempotent request is retried at a second target
    Then the retry reaches the second target with the whole body

  Scenario: A request that a target sheds has not run
    Then a shed payout gives not_run, and the connection is kept
    And a connection whose shed answer does not end is closed

  Scenario: No target receives a caller's key
    Then keys in 12 forms are accepted and reach no target

  Scenario: A caller cannot forge its organisation
    Then the target gets the organisation of the key and no forged headers

  Scenario: A revoked key fails on an open connection and in the queue
    Then the open connection gets 401, and so does the waiting request

  Scenario: An answer before the end of an upload reaches the caller
    Then the caller gets the answer, and the target no complete request

  Scenario: A fetch of a small resource is answered, times out or fails
    Then the node gets a body, a timeout and a refused connection

  Scenario: A slow first request of a service is not abandoned
    Then a read of 1.4 s at a new node is answered by its first attempt
