Feature: Datagrams and documents between nodes on loopback

  Scenario: Messages sent in one reactor iteration share a datagram
    Given two nodes
    When one sends 5 messages to the other in one iteration and then 1 more
    Then the other has received 6 messages in 2 datagrams

  Scenario: Invalid datagrams are counted and do not stop the endpoint
    Given two nodes
    When a foreign host sends noise, 2000 bytes, version 2 and a forged sender
    And one sends 5 messages to the other in one iteration and then 1 more
    Then the other has received 6 messages and counted each bad datagram once

  Scenario: A message that is too large does not prevent sending others
    Given two nodes
    When one sends a message of 2000 bytes and a small one
    Then the other has received 1 message in 1 datagram

  # Guards against bursts that are larger than what the link of a node holds.
  Scenario: Messages of a paced type leave in order and do not delay others
    Given two nodes
    When one sends 200 updates of 800 bytes and then a heartbeat
    Then the other has received the heartbeat before the last update
    And the 200 updates arrived in order in at least 0.4 seconds

  # Guards against updates that wait at their sender and look new on arrival.
  Scenario: An update arrives with the time for which it waited in its age
    Given two nodes
    And both have sent each other an update
    When one sends 500 updates of 800 bytes and then a heartbeat
    Then the ages of the last 500 updates grow as they arrive, to 1 second or more

  # Guards against an update that is taken for new although its delay cannot be
  # known yet.
  Scenario: The age of an update of an unknown node is not known
    Given two nodes
    When one sends 1 updates of 10 bytes and then a heartbeat
    Then the update has the greatest age, and the next one less than a minute

  # Guards against one odd message or address that loses all other messages.
  Scenario: An exception for one message does not lose the others
    Given two nodes
    When the other raises for the first message that it receives
    And one sends a message to "127.0.0.1:port" before those to the other
    Then the other has received 5 messages in 1 datagrams
    And each node has reported 1 exception

  # Guards against errors of datagrams that no counter shows.
  Scenario Outline: A datagram of nested lists is dropped
    Given two nodes
    When one sends a datagram with 1300 nested lists before <field>
    And one sends 5 messages to the other in one iteration and then 1 more
    Then the other has received 6 messages in 3 datagrams
    And the other has counted 1 bad datagram

    Examples:
      | field |
      | msgs  |
      | t     |

  Scenario: A peer fetches a new revision of a document
    Given two nodes
    When one node reads revision 2 of the VM list
    Then the other has revision 2 in force, fetched from the first

  Scenario Outline: A failed fetch does not mark the revision as seen
    Given two nodes
    And the first serves <fault>
    When one node reads revision 2 of the VM list
    Then the other counts a failed fetch and has seen revision 1

    Examples:
      | fault            |
      | a truncated copy |
      | 3 megabytes      |
      | status 500       |
      | no answer at all |

  Scenario: A pending message does not make the close fail after the reactor stopped
    Given an endpoint whose socket the reactor has closed
    When the endpoint is closed with a pending message
    Then no exception is raised
