Feature: What the platform publishes, read by few and told to all

  Scenario: Every node reads the store for itself
    Given 19 nodes that have read the store
    When 10 seconds pass
    Then the store was called at most 60 times
    And no node's knowledge was older than 1 second

  Scenario: A change is not in force everywhere
    Given 19 nodes that have read the store
    When an entry is written
    And 0.4 seconds pass
    Then every node has the entry

  Scenario: A change is missed because the reader dies
    Given 19 nodes that have read the store
    When both readers are killed and an entry is written
    And 1.9 seconds pass
    Then every node has the entry

  Scenario: A change is missed because the store turns the readers away
    Given 19 nodes that have read the store
    When the store refuses the readers and 5 others
    And an entry is written
    And 1.9 seconds pass
    Then every node has the entry

  Scenario: A change is missed because the network loses messages
    Given 19 nodes that have read the store, with 20% loss
    When 50 entries are written, one each 0.05 seconds
    And 1.5 seconds pass
    Then every node has all entries

  Scenario: A removal is missed because the store forgot its history
    Given 19 nodes that have read the store
    When the store goes away, an entry is removed and the history is lost
    And the store comes back and 4 seconds pass
    Then no node has the removed entry

  Scenario: An entry that lapsed in an outage is dropped before it is back
    Given 19 nodes that have read the store
    When the store is away for 5 seconds and an entry lapses meanwhile
    And 1 seconds pass
    Then every node has the lapsed entry
    When the entry is written again
    And 3 seconds pass
    Then every node has the lapsed entry

  Scenario: An entry that stays away after an outage is kept
    Given 19 nodes that have read the store
    When the store is away for 5 seconds and an entry lapses meanwhile
    And 4 seconds pass
    Then no node has the removed entry

  Scenario: A node that starts in an outage knows nothing
    Given 19 nodes that have read the store
    When the store goes away
    And one node is restarted
    And 2 seconds pass
    Then every node has the first entry

  Scenario: A large configuration does not fit a datagram
    Given 19 nodes that have read the store, with 5% loss
    When an entry of 60000 random bytes is written
    And 1.9 seconds pass
    Then every node has the entry

  Scenario: Every node of a fleet that starts reads everything for itself
    Given 111 nodes that have just started beside a store
    Then all nodes together made at most 12 first reads
    And every node has the first entry

  Scenario: A reader sends news to every member of a large fleet
    Given a large fleet of 111 nodes that have read the store
    When the sends of news are counted for 10 seconds
    Then no node sent more than 30 of them a second
    When 5 seconds pass
    Then no node's knowledge was older than 1 second

  Scenario: Members below one that passes nothing on miss a change
    Given a large fleet of 111 nodes that have read the store
    When the first member of each data centre is frozen
    And an entry is written
    And 0.4 seconds pass
    Then every node has the entry

  Scenario: Both readers of a large fleet die with a change
    Given a large fleet of 111 nodes that have read the store
    When both readers are killed and an entry is written
    And 1.9 seconds pass
    Then every node has the entry
