Feature: Routes, keys and refusals in HTTP

  Scenario Outline: A path reaches the right route or is refused
    When the path <path> is matched
    Then the result is <result>

    Examples:
      | path                      | result             |
      | /records                  | records            |
      | /records/1                | records            |
      | /recordsX                 | no_route           |
      | /                         | no_route           |
      | /records/open             | inner              |
      | /records/open/1           | inner              |
      | /records/opened           | records            |
      | /%72ecords/1              | records            |
      | /records/%6Fpen           | inner              |
      | /records%2Fopen           | bad_request        |
      | /records/open%2F..%2F1    | bad_request        |
      | /records/open/../1        | bad_request        |
      | /records/open/%2e%2E/1    | bad_request        |
      | /records/open/./1         | bad_request        |
      | /records//open            | bad_request        |
      | /records\open             | bad_request        |
      | //records                 | bad_request        |
      | /records/.hidden          | records            |
      | /records/a%20b            | records            |
      | /records/100%             | records            |
      | /payouts                  | method_not_allowed |

  Scenario: A key is removed from the query in every spelling of its name
    When api_key is spelt in 500 random ways in a query
    Then the key is found and removed, and other parameters stay

  Scenario Outline: Different keys in one request are refused, equal keys are accepted
    When the fields <fields> and the query <query> are presented
    Then the key is <key>

    Examples:
      | fields                                   | query       | key         |
      | authorization: Bearer k1                 | -           | k1          |
      | authorization: Bearer k1; x-api-key: k1  | api_key=k1  | k1          |
      | authorization: Bearer k1; x-api-key: k2  | -           | bad_request |
      | x-api-key: k1                            | api_key=k2  | bad_request |
      | authorization: Bearer k1; x_api_key: k2  | -           | bad_request |
      | authorization: Bearer                    | -           | none        |
      | authorization: Basic azE6                | -           | none        |
      | x-api-key:                               | a=b         | none        |

  Scenario Outline: A refusal has the status and header fields of its code
    When a refusal with <code> and retry after <ms> ms is written
    Then it has status <status> and the field <field>

    Examples:
      | code               | ms   | status | field                    |
      | over_rate          | 1    | 429    | Retry-After: 1           |
      | over_rate          | 2001 | 429    | Retry-After: 3           |
      | key_unknown        | 0    | 401    | WWW-Authenticate: Bearer |
      | headers_too_large  | 0    | 400    | Content-Type: application/json |
      | deadline_exceeded  | 0    | 504    | Content-Type: application/json |

  Scenario: The examples in docstrings match the code
    When the examples of egretrock_node.protocol run
    Then at least 10 examples ran and none failed
