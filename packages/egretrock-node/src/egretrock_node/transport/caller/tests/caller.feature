Feature: Callers' connections

  Scenario: A request with faulty framing reaches a target
    Then each of 42 faulty requests gets 400 and reaches no target

  Scenario: A chunk fault late in a large body looks like its end
    Then a target that got part of the body sees no last chunk

  Scenario: Pipelined requests get their answers out of order
    Then 5 requests sent at once get their answers in order

  Scenario: A body after a refusal is taken for the next request
    Then a refused body that looks like a request is dropped

  Scenario: A caller that waits for 100 Continue waits for ever
    Then 100 Continue is sent with a key, and 401 without

  Scenario: Chunked and long bodies arrive changed
    Then a target receives chunked and long bodies unchanged

  Scenario: A caller of HTTP 1.0 waits for the end of the connection
    Then a chunked answer reaches it unchunked, and the connection ends

  Scenario: An answer without a body is taken for one with a body
    Then the answers to HEAD, 204 and 304 leave the connection in order

  Scenario: A slow head or an idle connection is kept for ever
    Then both are closed, the slow head with 400

  Scenario: Connections above the limit are held
    Then the second of two connections gets 503 and the first works

  Scenario: An upload to a target that does not read fills the memory
    Then an upload of 64 MB is held back below 16 MB, and then arrives

  Scenario: A download to a caller that does not read fills the memory
    Then a download of 64 MB is held back below 16 MB, and then arrives

  Scenario: A drain cuts off a request in flight
    Then the request is answered, asks to close, and the port is closed

  Scenario: A body above the limit reaches a target whole
    Then a body that says it is too large gets 413 and reaches no target
    And a body that grows too large gets 413 and its target no last chunk
    And a body of the largest size is answered
