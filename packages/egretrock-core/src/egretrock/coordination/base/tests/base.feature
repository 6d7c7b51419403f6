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

  Scenario: A paced queue keeps to its rate and its order
    Given a paced queue of 10000 bytes a second, at most 1000 at once
    When 20 items of 300 bytes are added and taken when they are due
    Then at no time more bytes have left than the rate and a burst allow
    And all items left in order, by 0.6 seconds

  # Guards against a moment that is due at once, again and again, as the bytes
  # that are missing are less than the rounding of the time.
  Scenario: A paced queue does not ask to be called again without a pause
    Given a paced queue of 500000 bytes a second, at most 16000 at once
    When 400 items of 1357 bytes are added and taken when they are due
    Then each call to take was at least a millisecond after the one before

  Scenario: A paced queue drops what does not fit
    Given a paced queue of 10000 bytes a second, at most 1000 at once
    When 500 items of 300 bytes are added
    Then 333 items were taken up, and the others refused
