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

  # Guards against a delay that is taken for shorter than it was, by which old
  # entries look new.
  Scenario Outline: The delay of a message is never taken for shorter than it was
    Given two processes whose clocks differ by <difference> seconds
    When each sends 40 messages that take up to <delay> seconds, after which <event>
    Then no delay was taken for shorter than it was, or for unknown after <count> messages
    And the delays that are known exceed the actual ones by at most <excess> seconds

    Examples:
      | difference | delay | event                    | count | excess |
      | 0          | 0.01  | nothing happens          | 1     | 0.013  |
      | 5e5        | 2     | nothing happens          | 1     | 2.002  |
      | -70        | 0.5   | the first one restarts   | 2     | 0.502  |
      | 0.3        | 0.5   | their clocks drift apart | 1     | 0.505  |
