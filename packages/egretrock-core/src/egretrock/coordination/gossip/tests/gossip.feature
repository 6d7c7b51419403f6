Feature: Members of a fleet without a list

  Scenario: A node of a fleet that starts at once knows nobody
    Given 19 nodes that start at once
    When 1.5 seconds pass
    Then every node knows 19 members

  Scenario: A large fleet that starts at once is long in finding together
    Given 111 nodes that start at once
    When 2.5 seconds pass
    Then every node knows 111 members

  Scenario: A fleet does not find together because a seed is down
    Given 19 nodes that start at once without the first seed
    When 2 seconds pass
    Then every node knows 18 members

  Scenario: A killed member is believed to be alive
    Given 19 nodes that know each other
    When one node is killed
    And 4 seconds pass
    Then no node believes it to be alive
    And every node still counts 19 members of the fleet

  Scenario: A restarted member stays lost because its wall clock went back
    Given 19 nodes that know each other
    When one node is killed
    And its wall clock goes back by 3 seconds
    And 4 seconds pass
    And it starts again
    And 2 seconds pass
    Then every node knows the new process

  Scenario: Two sides of a partition do not find together again
    Given 19 nodes that know each other
    When 6 of them are cut off
    And 5 seconds pass
    Then each side knows only itself as alive
    When the cut ends
    And 4 seconds pass
    Then every node knows 19 members

  Scenario: A lost datagram makes a member look dead
    Given 19 nodes that know each other, with 10% loss
    When 20 seconds pass
    Then a node was believed to be gone in under 1% of the looks

  Scenario: The cost of a node grows with the fleet
    Then a node sends at most 3000 bytes a second among 19 and among 111
