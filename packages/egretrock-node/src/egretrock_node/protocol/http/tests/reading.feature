Feature: The checks of a head take time in proportion to its bytes

  Scenario Outline: A long value of a caller or a target does not delay a node
    # Guards against work that grows with the square of what is received.
    Then the time for <check> of <value> grows in proportion to its bytes

    Examples:
      | check              | value               |
      | a route            | slashes             |
      | a route            | a deep path         |
      | a route            | escapes             |
      | a route            | escaped slashes     |
      | a route            | backslashes         |
      | a route            | dots                |
      | a host route       | slashes             |
      | a request target   | slashes             |
      | a request target   | an absolute URI     |
      | a host             | letters             |
      | a line             | blanks              |
      | a key in a query   | parameters          |
      | a key in a query   | escapes             |
      | a key in a query   | separators          |
      | a key in a header  | blanks              |
      | a key in a header  | bearer blanks       |
      | a key in a path    | nearly the key      |
      | a key in a path    | escapes             |
      | a key in a referer | escapes             |
      | a key in fields    | nearly the key      |
      | tokens             | commas              |
      | tokens             | blanks              |
      | request fields     | connection tokens   |
      | response fields    | connection tokens   |
      | a keep-alive       | commas              |
      | a keep-alive       | digits              |

  Scenario: The time to prepare a configuration grows with its routes
    Then the time to prepare routes grows in proportion to their number

  Scenario: The route of a path is the one with the longest prefix
    Then 2000 random paths match the prefixes that a search by segments finds
