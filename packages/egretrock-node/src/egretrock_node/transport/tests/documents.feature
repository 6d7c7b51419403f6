Feature: Published documents and datagrams are read in time proportional to them

  Scenario Outline: A large document does not delay a node
    # Guards against work, and findings, that grow with the square of a document.
    Then the time to check <document> grows in proportion to its bytes

    Examples:
      | document                            |
      | routes with one prefix              |
      | routes with one prefix and method   |
      | routes of unknown services          |
      | keys of unknown organisations       |
      | targets with one address            |
      | targets of unknown data centres     |
      | many valid routes                   |
      | many methods                        |
      | unknown fields                      |
      | values of another type              |
      | nested lists                        |
      | a long number                       |
      | a long text                         |
      | a VM list                           |
      | a VM list without addresses         |

  Scenario: Two routes of one prefix whose methods overlap are found
    Then 500 random sets of routes have findings exactly where methods overlap

  Scenario Outline: A datagram is decoded in proportion to its bytes
    Then the time to decode a datagram of <bytes> grows in proportion

    Examples:
      | bytes         |
      | messages      |
      | nested lists  |
      | digits        |
      | blanks        |
      | a long name   |

  Scenario: A datagram above the limit is refused without being decoded
    Then a datagram of 65000 bytes is refused as too large
