Feature: Parts shared by all coordination parts

  Scenario: A node that leaves moves keys between the nodes that stay
    Given 18 nodes and 500 keys
    When one node is removed
    Then only the keys of the removed node have moved

  Scenario: A process that resumes late runs a timer once per interval missed
    Given a subscriber with an interval of 1 second
    When time advances to 30 seconds in one step
    Then the subscriber ran 1 time
