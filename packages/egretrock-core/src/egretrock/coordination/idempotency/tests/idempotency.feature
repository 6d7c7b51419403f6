Feature: A key runs at most once within its window

  A history is one simulation run with a random seed.

  Scenario Outline: No key runs twice within its window under <faults>
    Given keyed requests under <faults>
    When 25 random histories are run
    Then no key was dispatched twice within its window
    And keys were dispatched

    Examples:
      | faults          |
      | message faults  |
      | kills           |
      | planned stops   |
      | freezes         |
      | all faults      |

  Scenario Outline: The check detects keys that run twice without <mechanism>
    Given keyed requests under <faults>
    When up to 60 random histories are run without <mechanism>
    Then a key was dispatched twice within its window

    Examples:
      | mechanism                        | faults         |
      | refusal after a takeover         | kills          |
      | the lease check                  | freezes        |
      | the dispatch deadline            | freezes        |
      | retention beyond the window      | message faults |
      | the merge of handed-over records | planned stops  |

  Scenario: After a drain the successor answers all keys at once
    Given a holder with 35 recorded keys
    When it hands over with half of the messages lost
    Then the successor answers seen for all keys at once
    And the successor answers first for a new key

  Scenario: A successor that restarts after the handover refuses the keys
    Given a holder with 35 recorded keys
    When its successor restarts after the hand-over
    Then the successor refuses all keys

  Scenario: A full holder refuses new keys and keeps the recorded ones
    Given a holder with room for 10 keys and 10 keys recorded
    When an attempt with another key begins
    Then it gets unavailable and the 10 keys still get seen

  Scenario: A key whose attempt was not run is free for another attempt
    Given a holder with 1 recorded keys
    When the attempt is reported as not run
    Then another attempt gets first

  Scenario: A repeated key gets the outcome of its first attempt
    Given a holder with 1 recorded keys
    When the attempt is reported as run with status 201
    Then another attempt gets seen, as run with status 201

  Scenario: A handover message fits a datagram
    Given a holder with 35 recorded keys
    When it hands over
    Then every hand-over message has at most 1250 bytes
