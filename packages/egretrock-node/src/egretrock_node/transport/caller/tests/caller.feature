Feature: Callers' connections

  Scenario: A malformed request reaches no target
    Then each of 42 malformed requests gets 400 and reaches no target

  Scenario: A malformed late chunk is not passed on as the end of the body
    Then a target that received part of the body receives no last chunk

  Scenario: Pipelined requests get their answers in order
    Then 5 pipelined requests get their answers in order

  Scenario: A body after a refusal is not parsed as the next request
    Then a refused body that looks like a request is discarded

  Scenario: A caller that waits for 100 Continue gets it or a refusal
    Then 100 Continue is sent with a key, and 401 without

  Scenario: Chunked and long bodies arrive unchanged
    Then a target receives chunked and long bodies unchanged

  Scenario: An HTTP/1.0 caller gets an answer that ends with the connection
    Then a chunked answer reaches the caller unchunked, followed by the close

  Scenario: Answers without a body keep the framing of the connection
    Then answers to HEAD and with 204 and 304 leave the connection usable

  Scenario: A connection that is idle or sends a slow head is closed
    Then both are closed, the slow head with 400

  Scenario: Connections above the limit are refused
    Then the second of two connections gets 503 and the first works

  Scenario: An upload to a target that does not read is throttled
    Then an upload of 64 MB stalls below 16 MB, and then arrives

  Scenario: A download to a caller that does not read is throttled
    Then a download of 64 MB stalls below 16 MB, and then arrives

  # The connection was aborted when its linger time ended, with a part of the
  # answer unsent.
  Scenario: An answer that precedes the end of its request is sent completely
    Then a caller that pauses for longer than the linger time gets all of it

  Scenario: A drain completes a request in flight
    Then the request is answered with a close, and the port is closed

  Scenario: A body above the limit never reaches a target completely
    Then a body that is announced as too large gets 413 and reaches no target
    And a body that grows too large gets 413 and its target no last chunk
    And a body of the largest size is answered

  # Guards against limits that an open connection has copied: a proper request
  # is refused on it, or a request above a lowered limit is taken.
  Scenario Outline: A changed limit on <field> applies to open connections
    Given a connection that has had an answer, with <field> of <first>
    When the limit <field> becomes <second>
    Then <request> on the open connection is answered with <status>

    Examples:
      | field            | first | second | request                 | status |
      | max_header_bytes | 16384 | 65536  | a head of 30000 bytes   | 200    |
      | max_header_bytes | 16384 | 65536  | a line of 30000 bytes   | 200    |
      | max_header_bytes | 65536 | 16384  | a head of 30000 bytes   | 400    |
      | max_header_bytes | 65536 | 16384  | a line of 30000 bytes   | 400    |
      | max_body_bytes   | 1000  | 100000 | a body of 30000 bytes   | 200    |
      | max_body_bytes   | 99999 | 1000   | a body of 30000 bytes   | 413    |
      | idle_timeout_s   | 0.4   | 60     | a request after a pause | 200    |
      | head_timeout_s   | 0.4   | 60     | a head with a pause     | 200    |
      | idle_timeout_s   | 60    | 0.4    | a request after a pause | 0      |
      | head_timeout_s   | 60    | 0.4    | a head with a pause     | 400    |
