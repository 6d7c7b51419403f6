Feature: A key runs at most once within its window

  Scenario Outline: <kinds> do not let a key run twice
    Given keyed requests under <kinds>
    When 25 random histories of keys are recorded
    Then no key was dispatched twice within its window
    And keys were dispatched

    Examples:
      | kinds           |
      | message faults  |
      | kills           |
      | planned stops   |
      | freezes         |
      | all faults      |

  Scenario Outline: The check notices that <mechanism> is missing
    Given keyed requests under <kinds>
    When <mechanism> is off in up to 60 histories of keys
    Then a key was dispatched twice within its window

    Examples:
      | mechanism                      | kinds    |
      | refusal after a takeover       | kills    |
      | the check of the holding       | freezes  |
      | the deadline of the dispatch   | freezes  |
      | memory longer than the window  | message faults |
      | taking the records             | planned stops |

  Scenario: A planned stop does not refuse keys at the successor
    Given a holder with 35 recorded keys
    When it hands over with half of the messages lost
    Then the successor answers seen for all keys at once
    And the successor answers first for a new key

  Scenario: A hand-over to a process that restarted is not used
    Given a holder with 35 recorded keys
    When its successor restarts after the hand-over
    Then the successor refuses all keys

  Scenario: A full memory refuses keys and forgets none
    Given a holder with room for 10 keys and 10 keys recorded
    When another key is begun
    Then it is unavailable and the 10 keys are still seen

  Scenario: A key whose request was not run may be tried again
    Given a holder with 1 recorded keys
    When the attempt is reported as not run
    Then another attempt is first

  Scenario: A repeat learns the outcome of the first attempt
    Given a holder with 1 recorded keys
    When the attempt is reported as run with status 201
    Then a repeat is seen as run with status 201

  Scenario: A hand-over message fits a datagram
    Given a holder with 35 recorded keys
    When it hands over
    Then every hand-over message has at most 1250 bytes
