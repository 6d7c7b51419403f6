Feature: Reading the bytes of a target takes time in proportion to them

  Scenario Outline: A long answer of a target does not delay other requests
    # Guards against a gateway that answers nobody while it reads one answer.
    Then the time to read <bytes> grows in proportion to their number

    Examples:
      | bytes                       |
      | blanks in a field           |
      | tabs in a field             |
      | blanks before a field value |
      | blanks between letters      |
      | blanks in a status line     |
      | short fields                |
      | interim answers             |
      | answers to other requests   |
      | chunks of one byte          |
      | chunk extensions            |
      | short trailers              |
      | one long trailer            |
      | a body with a length        |

  Scenario Outline: Bytes that arrive one at a time are not read again each time
    # Guards against work that grows with the bytes of earlier turns.
    Then the time to read <bytes> one at a time grows in proportion

    Examples:
      | bytes              |
      | blanks in a field  |
      | short fields       |
      | chunks of one byte |
      | one long trailer   |

  Scenario Outline: One turn of the reactor parses a limited part of an answer
    # Guards against one read of a target that delays all other connections.
    When <count> bytes of <bytes> arrive at once
    Then they are parsed in more than <turns> turns, without reading meanwhile

    Examples:
      | bytes                     | count | turns |
      | short fields              | 3900  | 3     |
      | interim answers           | 60000 | 20    |
      | answers to other requests | 60000 | 400   |
      | chunks of one byte        | 60000 | 100   |
      | short trailers            | 16000 | 10    |

  Scenario: An answer is the same however its bytes are split
    Then 300 random answers give the same events in each of 4 ways to split them

  Scenario Outline: Chunk lines may not be much longer than their chunks
    # Guards against a body below its limit that needs far more bytes.
    When 60000 bytes of <bytes> arrive at once
    Then the answer <outcome>

    Examples:
      | bytes              | outcome   |
      | chunk extensions   | fails     |
      | chunks of one byte | continues |

  Scenario: The data of many small chunks is passed on in few pieces
    When 60000 bytes of chunks of one byte arrive at once
    Then the listener gets all of them, in order, in fewer than 200 pieces

  Scenario: An answer that was received completely before a loss is complete
    When a chunked answer and the end of its connection arrive before it is parsed
    Then the listener gets the complete answer

  Scenario Outline: A failed answer does not stay in memory with its connection
    # Guards against a node that runs out of memory by bytes without end,
    # since connections wait for the garbage collector.
    When 100 connections each fail on 60000 bytes of <bytes>
    Then they keep less than 1000000 bytes in all

    Examples:
      | bytes             |
      | long fields       |
      | short fields      |
      | one long trailer  |
      | chunk extensions  |
      | no line end       |

  Scenario: A failed attempt does not stay in memory with a later connection
    # Guards against a node that grows with each connection that it loses: a
    # connection made after a loss must not keep the attempt that was lost.
    When 100 attempts in series fail, each on the connection made after the last one
    Then at most 2 of the attempts are kept
