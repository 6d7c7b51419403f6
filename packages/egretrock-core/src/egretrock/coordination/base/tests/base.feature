Feature: Hashing and timers shared by the coordination parts

  Scenario: Removing a node moves only the keys that it had
    Given 18 nodes and 500 keys
    When one node is removed
    Then only the keys of the removed node have moved

  Scenario: A process that resumes late runs a timer once, not per missed interval
    Given a timer with an interval of 1 second
    When time advances to 30 seconds in one step
    Then the callback ran 1 time
