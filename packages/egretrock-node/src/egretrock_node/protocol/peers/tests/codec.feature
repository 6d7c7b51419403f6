Feature: Datagrams between nodes

  Scenario: A damaged datagram is decoded or refused without any other exception
    When 300 damaged or random datagrams are decoded
    Then each is a message list, a refused version or a bad datagram

  Scenario: Messages keep their content and order when they are packed
    When 200 lists of messages are packed and unpacked
    Then the messages are the same, and no datagram is above 1400 bytes

  Scenario: Known messages of a later minor version are read
    When a datagram has an unknown field, an unknown tag and a known message
    Then the known message is read and 1 message is unknown

  Scenario: A datagram of another major version is refused
    When a datagram of major version 2 is decoded
    Then the version 2 is refused

  Scenario: A message above the size limit is refused
    When a message of 2000 bytes is packed
    Then it is refused as too large
