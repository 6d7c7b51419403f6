Feature: Reading the bytes of a caller takes time in proportion to them

  Scenario Outline: A long request of a caller does not delay other requests
    Then the time to read <bytes> grows in proportion to their number

    Examples:
      | bytes                     |
      | blanks in a field         |
      | blanks between letters    |
      | short fields              |
      | empty lines               |
      | blanks in a request line  |
      | a long path               |
      | chunks of one byte        |
      | chunk extensions          |
      | short trailers            |
      | a body with a length      |
      | requests                  |

  Scenario Outline: Bytes that arrive one at a time are not read again each time
    # Guards against work that grows with the bytes of earlier turns.
    Then the time to read <bytes> one at a time grows in proportion

    Examples:
      | bytes                         |
      | blanks in a field             |
      | short fields                  |
      | chunks of one byte            |
      | one long trailer              |
      | requests during another one   |

  Scenario Outline: One turn of the reactor parses a limited part of a request
    # Guards against one read of a caller that delays all other connections.
    When <count> bytes of <bytes> arrive at once
    Then they are parsed in more than <turns> turns, without reading meanwhile

    Examples:
      | bytes              | count | turns |
      | chunks of one byte | 60000 | 100   |
      | short trailers     | 16000 | 10    |
      | requests           | 60000 | 1000  |

  Scenario: The data of many small chunks is passed on in few pieces
    When 60000 bytes of chunks of one byte arrive at once
    Then the body arrives completely, in order, in fewer than 200 pieces

  Scenario: Nothing is parsed after a refusal
    When 60000 bytes of empty lines arrive at once
    Then they are refused with 400 in 1 turn

  Scenario: A request that waits for another one is answered after it
    When 3 requests arrive while another one is answered slowly
    Then all 4 are answered in order

  Scenario: A request that is refused while it is parsed is still read
    # Guards against a close with unread bytes, by which the answer is lost.
    When 60000 bytes of chunks of one byte arrive and the head is refused
    Then the connection is read, and nothing more is parsed
