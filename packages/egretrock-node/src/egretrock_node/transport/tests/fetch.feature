Feature: Reads of the platform and of peers are bounded

  Scenario Outline: An answer without end fails the read, which is repeated
    # Guards against a node that keeps all it is sent and runs out of memory.
    Given a server that sends <bytes> without end
    When a resource of it is fetched
    Then the fetch fails before <limit> bytes were sent

    Examples:
      | bytes                    | limit   |
      | short fields             | 1000000 |
      | folded lines             | 1000000 |
      | no line end              | 1000000 |
      | interim answers          | 1000000 |
      | a body without a length  | 5000000 |
      | a body with a length     | 5000000 |
      | large chunks             | 5000000 |
      | chunk extensions         | 1000000 |
      | short trailers           | 1000000 |

  Scenario Outline: A revision that is no number of 64 bits fails the read
    Then the revision <text> is refused

    Examples:
      | text                   |
      | of 5000 digits         |
      | of 19 digits           |
      | -1                     |
      | 1e3                    |
      | ١                      |
