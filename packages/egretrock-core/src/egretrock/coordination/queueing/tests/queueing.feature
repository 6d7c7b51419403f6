Feature: Fair queue of waiting requests

  "behave -D without=NAME" disables a mechanism of the queue; the scenarios
  that test the mechanism must then fail.

  Scenario Outline: Each organisation gets its share of the slot time
    Given 8 organisations of equal rate that always have requests waiting
    And the requests of <slow> of them need <factor> times the slot time
    When 4000 requests are served
    Then each organisation got at least 0.9 of an eighth of the slot time

    Examples:
      | slow     | factor |
      | one      | 1      |
      | one      | 10     |
      | four     | 3      |

  Scenario: An organisation gets slot time in proportion to its rate
    Given 2 organisations of which one has 3 times the rate
    When 2000 requests are served
    Then the larger organisation got 0.70 to 0.80 of the slot time

  Scenario: One organisation's burst evicts only its own requests
    Given a queue of 100 with 5 requests of each of 8 organisations
    When one organisation offers 500 more requests
    Then only that organisation was refused
    And each refusal is queue_full and not_run

  Scenario: Each request leaves the queue once and before its deadline
    Given generated sequences of offers, takes and expiries
    Then no request is lost, duplicated or served after its deadline
    And the queue never holds more than its bound

  Scenario: An organisation that sends slow requests one at a time is charged
    Given two organisations, one of which sends one slow request at a time
    When 2000 requests are served
    Then the slow organisation got at most 0.6 of the slot time
