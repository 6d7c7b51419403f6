Feature: Membership by gossip, without a list of nodes

  Scenario: Nodes that start at the same time discover each other
    Given 19 nodes that start at the same time
    When 1.5 seconds pass
    Then every node lists 19 members as alive

  Scenario: A large fleet that starts at the same time discovers all nodes quickly
    Given 111 nodes that start at the same time
    When 2.5 seconds pass
    Then every node lists 111 members as alive

  Scenario: A fleet discovers all nodes although a seed is down
    Given 19 nodes that start at the same time without the first seed
    When 2 seconds pass
    Then every node lists 18 members as alive

  Scenario: A killed member is no longer alive but still counted
    Given 19 nodes that have discovered each other
    When one node is killed
    And 4 seconds pass
    Then no node lists it as alive
    And every node still counts 19 members of the fleet

  Scenario: A restarted member is found although its wall clock went back
    Given 19 nodes that have discovered each other
    When one node is killed
    And its wall clock goes back by 3 seconds
    And 4 seconds pass
    And it starts again
    And 2 seconds pass
    Then every other node lists the new process as alive

  Scenario: Two sides of a partition merge when it heals
    Given 19 nodes that have discovered each other
    When 6 of them are partitioned from the others
    And 5 seconds pass
    Then each side lists only its own nodes as alive
    When the partition heals
    And 4 seconds pass
    Then every node lists 19 members as alive

  Scenario: Lost datagrams do not make a live member look dead
    Given 19 nodes that have discovered each other, with 10% loss
    When 20 seconds pass
    Then a member list lacks a given live node in less than 1% of the samples

  Scenario: The traffic of a node stays bounded as the fleet grows
    Then a node sends at most 3000 bytes a second in fleets of 19 and 111
