Feature: Datagrams between nodes

  Scenario: A damaged datagram ends the process or changes a message
    When 300 damaged or random datagrams are decoded
    Then each is a message list, a refused version or a bad datagram

  Scenario: Messages get lost or change order when they are packed
    When 200 lists of messages are packed and unpacked
    Then the messages are the same, and no datagram is above 1400 bytes

  Scenario: A node of a later minor version is not understood
    When a datagram has an unknown field, an unknown tag and a known message
    Then the known message is read and 1 message is unknown

  Scenario: A node of another major version is misread
    When a datagram of major version 2 is decoded
    Then the version 2 is refused

  Scenario: A message above the size bound is cut or sent
    When a message of 2000 bytes is packed
    Then it is refused as too large
