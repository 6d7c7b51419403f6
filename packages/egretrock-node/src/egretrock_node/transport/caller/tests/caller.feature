Feature: Callers' connections

  Scenario Outline: A request with faulty framing reaches a target
    Given a node with 1 target
    When a caller sends the faulty request "<fault>"
    Then the answer has status 400 and the connection is closed
    And no target received anything

    Examples:
      | fault                       |
      | both lengths                |
      | both lengths, reversed      |
      | length twice                |
      | length list                 |
      | length with sign            |
      | negative length             |
      | hexadecimal length          |
      | empty length                |
      | length of 25 digits         |
      | identity coding             |
      | coding twice                |
      | coding list                 |
      | coding gzip                 |
      | coding in HTTP 1.0          |
      | bare LF after request line  |
      | bare LF after field         |
      | bare CR in field            |
      | NUL in field                |
      | folded field                |
      | folded first field          |
      | space before colon          |
      | field without colon         |
      | empty field name            |
      | two spaces in request line  |
      | version 2.0                 |
      | lower-case version          |
      | non-ASCII target            |
      | fragment in target          |
      | authority as target         |
      | no host                     |
      | two hosts                   |
      | unknown expectation         |
      | long field                  |
      | long head                   |
      | endless line                |
      | many fields                 |
      | chunk size not hexadecimal  |
      | chunk size with sign        |
      | chunk size with underscore  |
      | chunk size empty            |
      | chunk without CRLF          |
      | second chunk size broken    |

  Scenario: Bytes after a faulty request are taken for a request
    Given a node with 1 target
    When a caller sends the faulty request "both lengths" and a sound one
    Then the answer has status 400 and the connection is closed
    And no target received anything

  Scenario: A chunk fault late in a large body looks like its end
    Given a node with 1 target
    When a caller sends 300000 chunked bytes and then a chunk fault
    Then the answer has status 400 and the connection is closed
    And no target received a last chunk
    And the run state in the answer is unknown

  Scenario: Pipelined requests get their answers out of order
    Given a node with 1 target
    When a caller sends 5 requests at once, each with its own answer
    Then the 5 answers come in order

  Scenario: A body after a refusal is taken for the next request
    Given a node with 1 target
    When a caller sends a body without key that looks like a request
    And the caller sends a sound request
    Then the answers have the statuses 401, 200

  Scenario: A caller that waits for 100 Continue waits for ever
    Given a node with 1 target
    When a caller expects 100 Continue and sends a body after it
    Then the target received the body
    When a caller without key expects 100 Continue
    Then the answer has status 401 and the connection is closed

  Scenario: Chunked and long bodies arrive changed
    Given a node with 1 target
    When a caller sends 1000 bytes in chunks
    And a caller sends 200000 bytes in chunks
    And a caller sends 200000 bytes with their length
    Then the target received each body unchanged

  Scenario: A caller of HTTP 1.0 waits for the end of the connection
    Given a node with 1 target
    When a caller sends a request of HTTP 1.0
    Then the answer has status 200 and the connection is closed

  Scenario: A slow head holds a connection
    Given a node with 1 target and head_s 0.2
    When a caller sends half a head and one byte every 0.05 s
    Then the answer has status 400 and the connection is closed

  Scenario: An idle connection is kept for ever
    Given a node with 1 target and idle_s 0.1
    When a caller connects and sends nothing
    Then the connection is closed without an answer

  Scenario: Connections above the limit are held
    Given a node with 1 target and max_connections 1
    When two callers connect
    Then the second gets status 503 and is closed

  Scenario: An upload to a target that does not read fills the memory
    Given a node with 1 target
    When a caller uploads to a target that reads nothing for a while
    Then the caller is held back before 16 MB were taken
    And the whole upload arrives once the target reads

  Scenario: A download to a caller that does not read fills the memory
    Given a node with 1 target
    When a caller does not read the answer of a target that sends 64 MB
    Then the target is held back before 16 MB were taken
    And the whole download arrives once the caller reads

  Scenario: A drain cuts off a request in flight
    Given a node with 1 target
    When the node drains while a request is in flight
    Then the answer has status 200 and asks to close
    And new connections are refused
