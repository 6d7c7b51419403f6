Feature: Hashing and timers shared by the coordination parts

  Scenario: Removing a node moves only the keys that it had
    Given 18 nodes and 500 keys
    When one node is removed
    Then only the keys of the removed node have moved

  Scenario: A process that resumes late runs a timer once, not per missed interval
    Given a timer with an interval of 1 second
    When time advances to 30 seconds in one step
    Then the callback ran 1 time

  # Guards against one exception that stops all timers after it, for good.
  Scenario: An exception of a callback does not stop the other timers
    Given a timer whose callback raises, and one after it
    When time advances by 3 seconds in steps of 1 second
    Then both callbacks ran 3 times, and 3 exceptions were reported
