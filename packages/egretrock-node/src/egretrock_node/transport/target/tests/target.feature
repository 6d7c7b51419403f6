Feature: Connections to targets

  Scenario Outline: A broken answer looks complete to the caller
    Given a node with 1 target
    When a target sends the broken answer "<fault>" to a caller
    Then the caller sees that the answer is broken

    Examples:
      | fault                     |
      | short body                |
      | no last chunk             |
      | cut chunk                 |
      | bad chunk size            |

  Scenario Outline: An answer in doubt is passed on
    Given a node with 1 target
    When a target sends the broken answer "<fault>" to a caller
    Then the caller gets status 502 with run state unknown

    Examples:
      | fault                     |
      | nothing                   |
      | half a head               |
      | both lengths              |
      | two lengths               |
      | malformed length          |
      | no length                 |
      | bare LF                   |
      | folded field              |
      | status not a number       |

  Scenario: A broken answer looks complete to a caller of HTTP 1.0
    Given a node with 1 target
    When a target sends the broken answer "no last chunk" to an old caller
    Then the caller's connection is reset

  Scenario: Bytes after an answer are taken for the next answer
    Given a node with 1 target
    When a target sends bytes after its answer
    Then the next answer is its own, on a new connection

  Scenario: A connection is made for each request
    Given a node with 1 target
    When a caller sends 20 requests in turn
    Then the target accepted 1 connection

  Scenario: A request is sent on a connection that the target has closed
    Given a node with 1 target
    When a target closes its connection after an answer
    Then the next non-idempotent request is answered
    And the permits part was told of the lost connection

  Scenario: A caller that leaves keeps its request running
    Given a node with 1 target
    When a caller leaves before the answer
    Then the target's connection is closed and nothing is in flight

  Scenario: A caller that leaves in mid-answer keeps its request running
    Given a node with 1 target
    When a caller leaves in the middle of the answer
    Then the target's connection is closed and nothing is in flight

  Scenario: A late answer reaches the next request
    Given a node with 1 target and a deadline of 200 ms
    When a target answers after the deadline
    Then the caller gets status 504 with run state unknown
    And the next answer is its own, on a new connection

  Scenario: A silent connection is used again, and its siblings
    Given a node with 2 targets and a deadline of 600 ms
    When a target with 3 idle connections goes silent on one
    Then the request is answered by the other target
    And all connections of the silent target are closed
    And the silent target is told to cancel on a fresh connection

  Scenario: A non-idempotent request is sent twice
    Given a node with 2 targets
    When a target closes the connection of a non-idempotent request
    Then the caller gets status 502 with run state unknown
    And the request was sent once

  Scenario: A non-idempotent request is sent twice after an old connection
    Given a node with 2 targets
    When the connection of a non-idempotent request is closed as it is sent
    Then the request was sent once or answered with status 200

  Scenario: A refused connection counts as a request that may have run
    Given a node with 2 targets
    When the first target refuses connections
    Then a non-idempotent request is answered by the other target
    When the second target refuses connections
    Then a non-idempotent request gets status 502 with run state not_run

  Scenario: An idempotent request is not tried at a second target
    Given a node with 2 targets
    When a target closes the connection of an idempotent request with a body
    Then the request is answered by the other target with its whole body

  Scenario: A shed request counts as run
    Given a node with 1 target
    When a target sheds a non-idempotent request
    Then the caller gets status 503 with run state not_run
    And the next answer is its own, on the same connection

  Scenario: A target sees a key
    Given a node with 1 target
    When callers send the key in every form
    Then the target received 12 requests and no key

  Scenario: A target takes a caller's word for its organisation
    Given a node with 1 target
    When a caller poses as another organisation
    Then the target is told the organisation of the key

  Scenario: A withdrawn key works on a connection that stays open
    Given a node with 1 target
    When a key is withdrawn between two requests of one connection
    Then the caller gets status 401 with run state not_run

  Scenario: A withdrawn key works for a request that waits
    Given a node with 1 target
    When a key is withdrawn while a request waits for a permit
    Then the caller gets status 401 with run state not_run
    And no target received anything

  Scenario: An answer before the end of an upload blocks the connection
    Given a node with 1 target
    When a target answers before the upload is complete
    Then the caller gets that answer
    And the target sees that the request is not complete

  Scenario: Reading a small resource of a target waits for ever
    Given a node with 1 target
    When the node reads the health of a target, a silent and a refusing one
    Then it gets the body, a failure in time and a refusal
