Feature: Callers of the readiness, metrics, status and document pages are bounded

  Scenario Outline: A request with a large body is refused before its body
    # Guards against bodies without end, which twisted.web stores in memory or
    # in a temporary file.
    When a caller of a page sends a head with "<field>" and 200000 bytes
    Then it is refused with 413 and nothing of the body is kept

    Examples:
      | field                       |
      | Content-Length: 200000      |
      | Content-Length: 99999999999 |
      | Transfer-Encoding: chunked  |

  Scenario: A small body is accepted
    When a caller of a page sends a head with "Content-Length: 3" and 3 bytes
    Then the page is answered

  Scenario Outline: Bytes without end are given up
    When a caller of a page sends 200000 bytes of <bytes>
    Then its connection is closed after at most 70000 bytes

    Examples:
      | bytes        |
      | no line end  |
      | short fields |
      | long fields  |
      | folded lines |
      | empty lines  |

  Scenario: A head that arrives slowly is given up
    When a caller of a page sends one byte each second for 40 seconds
    Then its connection is closed

  Scenario: Requests that arrive together are answered one in each turn
    # Guards against one read that renders thousands of pages.
    When a caller of a page sends 500 requests at once
    Then 1 page is rendered in the first turn and 500 in all

  Scenario: No page is rendered while its caller does not read
    # Guards against answers that fill the memory.
    When a caller that does not read sends 500 requests for a page at once
    Then fewer than 5 pages are rendered until it reads, and 500 in all

  Scenario Outline: The time to read a request grows with its bytes
    Then the time to read <bytes> for a page grows in proportion

    Examples:
      | bytes             |
      | blanks in a field |
      | a long query      |
      | short fields      |
      | cookies           |
