Feature: Published entries, read by few nodes and sent to all

  Scenario: Few reads of the platform keep every node up to date
    Given 19 nodes that have read the platform
    When 10 seconds pass
    Then the platform was called at most 60 times
    And no node's entries were older than 1 second

  Scenario: A change reaches every node
    Given 19 nodes that have read the platform
    When an entry is written
    And 0.4 seconds pass
    Then every node has the entry

  Scenario: A node knows from which node its newest entries are
    Given 19 nodes that have read the platform
    When an entry is written
    And 0.4 seconds pass
    Then a reader has the entry from the platform and the others from a node

  Scenario: An update of which a part does not arrive is counted
    When a directory gets 1 of 2 parts of an update and 2 seconds pass
    Then it has counted 1 directory.partial_expired

  Scenario: A change reaches every node although both readers are killed
    Given 19 nodes that have read the platform
    When both readers are killed and an entry is written
    And 1.9 seconds pass
    Then every node has the entry

  Scenario: A change reaches every node although the platform refuses readers
    Given 19 nodes that have read the platform
    When the platform refuses the readers and 5 other nodes
    And an entry is written
    And 1.9 seconds pass
    Then every node has the entry

  Scenario: Changes reach every node although the network loses messages
    Given 19 nodes that have read the platform, with 20% loss
    When 50 entries are written, one every 0.05 seconds
    And 1.5 seconds pass
    Then every node has all entries

  Scenario: A removal reaches every node although the platform lost its history
    Given 19 nodes that have read the platform
    When the platform goes down, an entry is removed and the platform loses its history
    And the platform is up again and 4 seconds pass
    Then no node has the removed entry

  Scenario: An entry removed in an outage is kept until it is written again
    Given 19 nodes that have read the platform
    When the platform is down for 5 seconds and an entry is removed meanwhile
    And 1.0 seconds pass
    Then every node still has that entry
    When the entry is written again
    And 3 seconds pass
    Then every node still has that entry

  Scenario: An entry that stays removed after an outage is dropped
    Given 19 nodes that have read the platform
    When the platform is down for 5 seconds and an entry is removed meanwhile
    And 4 seconds pass
    Then no node has the removed entry

  Scenario: A node that starts in an outage gets the entries from peers
    Given 19 nodes that have read the platform
    When the platform goes down
    And one node is restarted
    And 2 seconds pass
    Then every node has the first entry

  Scenario: An entry larger than a datagram reaches every node
    Given 19 nodes that have read the platform, with 5% loss
    When an entry of 60000 random bytes is written
    And 1.9 seconds pass
    Then every node has the entry

  Scenario: Few nodes of a starting fleet read everything from the platform
    Given 111 nodes that have just started with a platform
    Then all nodes together read everything at most 12 times
    And every node has the first entry

  # Guards against callers that wait for a node which has started but does not
  # know the configuration, after the loss of all machines at once.
  Scenario Outline: <count> nodes have the entries soon after a loss of power
    Given <count> nodes, of which a tenth starts 0.5 seconds before the others
    Then 5 of 10 nodes have the entries at most 0.1 seconds after their start
    And all of them have the entries at most 0.3 seconds after their start
    And all nodes together read everything at most <reads> times

    Examples:
      | count | reads |
      | 19    | 12    |
      | 101   | 40    |
      | 312   | 120   |

  # Guards against nodes that keep the entries of a history that no longer
  # exists until the platform has given out as many revisions again.
  Scenario Outline: A change reaches every node after the platform was restored
    Given 19 nodes that have read the platform
    When the platform is copied, and <lost> entries are written afterwards
    And it is restored from the copy after <down_s> seconds
    And <again> entries are written, and an entry is written
    And 1.9 seconds pass
    Then every node has the entries of the platform
    When 6 seconds pass
    Then every node has the entries of the platform

    Examples:
      | lost | down_s | again |
      | 20   | 2.0    | 0     |
      | 20   | 2.0    | 19    |
      | 20   | 0.2    | 20    |
      | 1    | 0.0    | 0     |
      | 3    | 5.0    | 40    |

  # Guards against a leaving target, or one that has gone, that is used again
  # because a restored platform lists it as it was.
  Scenario: What had changed before a restore holds until it is written again
    Given 19 nodes that have read the platform
    When the platform is copied, and an entry is changed and another removed
    And it is restored from the copy after 2 seconds
    And 1.5 seconds pass
    Then every node has the changed entry, and none has the removed one
    When the changed entry is written again with another value
    And 0.5 seconds pass
    Then every node has the entry
    When 6 seconds pass
    Then every node has the entries of the platform

  # Guards against a target that is used although it leaves after the restore.
  Scenario: A removal after a restore ends what was held
    Given 19 nodes that have read the platform
    When the platform is copied, and an entry is changed and another removed
    And it is restored from the copy after 2 seconds
    And 1.5 seconds pass
    And the changed entry is removed
    And 0.5 seconds pass
    Then no node has the changed entry

  # Guards against values that are held once only, from the first restore.
  Scenario: What had changed before two restores holds after the second one
    Given 19 nodes that have read the platform
    When the platform is copied, and an entry is changed and another removed
    And it is restored from the copy after 2 seconds
    And 4 seconds pass
    And it is restored from the copy after 0.1 seconds
    And 3 seconds pass
    Then every node has the changed entry, and none has the removed one

  # Guards against reads of everything that repeat without end while peers tell
  # of changes.
  Scenario Outline: A read of everything that is overtaken is not repeated at once
    Given 19 nodes that have read the platform
    When a node reads everything, and gets <era> position that is older
    Then its next read is <read>, and not at once

    Examples:
      | era                | read       |
      | a                  | of changes |
      | an earlier era's   | of all     |

  # Guards against nodes that start a read of everything each for themselves.
  Scenario: Few nodes read a restored platform
    Given a large fleet of 111 nodes that have read the platform
    When the platform is copied, and 20 entries are written afterwards
    And it is restored from the copy after 0.3 seconds
    And 0 entries are written, and an entry is written
    And 1.9 seconds pass
    Then every node has the entries of the platform
    And all nodes together read everything at most 20 times

  # Guards against a node that fails because of one message of a peer.
  Scenario Outline: Fragments that do not fit together are dropped
    Given 19 nodes that have read the platform
    When a node gets fragments <first> and then <second>
    Then it has the entries as before

    Examples:
      | first  | second |
      | 0 of 2 | 2 of 2 |
      | 0 of 3 | 2 of 2 |
      | 0 of 0 | 0 of 0 |

  Scenario: A reader of a large fleet does not send to every member itself
    Given a large fleet of 111 nodes that have read the platform
    When the sent directory messages are counted for 10 seconds
    Then no node sent more than 30 of them a second
    When 5 seconds pass
    Then no node's entries were older than 1 second

  Scenario: A change reaches every node although some members forward nothing
    Given a large fleet of 111 nodes that have read the platform
    When the first member of each data centre is frozen
    And an entry is written
    And 0.4 seconds pass
    Then every node has the entry

  Scenario: A change reaches a large fleet although both readers are killed
    Given a large fleet of 111 nodes that have read the platform
    When both readers are killed and an entry is written
    And 1.9 seconds pass
    Then every node has the entry

  # Guards against updates of several parts that overflow the links of a large
  # fleet: few nodes got them, and the others read the platform a second later.
  Scenario Outline: A large entry reaches <nodes> nodes over slow links
    Given <nodes> nodes in 6 data centres whose links take 0.75 MB a second
    When an entry of <size> random bytes is written
    And 0.6 seconds pass
    Then every node has the entry
    And a reader has the entry from the platform and the others from a node

    Examples:
      | nodes | size |
      | 19    | 8000 |
      | 101   | 8000 |
      | 312   | 8000 |

  # Pattern: a fleet starts within a second on slow processors. Seeds that
  # answered late were asked again by all, and asked for more than they could
  # send.
  Scenario: A fleet of 312 nodes starts on slow processors
    Given 312 nodes in 6 data centres that start within a second
    When 5 seconds pass while each message takes 0.4 ms to handle
    Then every node lists all 312 nodes, and none was declared gone
    And the data centres sent each other at most 15 MB
    And all nodes together called the platform at most 400 times
