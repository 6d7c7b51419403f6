Feature: Reading the bytes of a target takes time in proportion to them

  Scenario Outline: A long answer of a target does not delay other requests
    # Guards against a gateway that answers nobody while it reads one answer.
    Then the time to read <bytes> grows in proportion to their number

    Examples:
      | bytes                        |
      | blanks in a field            |
      | tabs in a field              |
      | blanks before a field value  |
      | blanks between letters       |
      | blanks in a status line      |
