Feature: Fair queue of waiting requests

  "behave -D without=NAME" switches a mechanism off; the scenarios that guard
  it must then fail.

  Scenario Outline: An organisation takes more than its share of the slots
    Given 8 organisations of equal rate that always have requests waiting
    And requests of <first> need <factor> times the slot time
    When 4000 requests are served
    Then each organisation got at least 0.9 of an eighth of the slot time

    Examples:
      | first    | factor |
      | one      | 1      |
      | one      | 10     |
      | four     | 3      |

  Scenario: A large organisation gets no more than a small one
    Given 2 organisations of which one has 3 times the rate
    When 2000 requests are served
    Then the larger one got 0.70 to 0.80 of the slot time

  Scenario: One organisation's burst pushes out the requests of the others
    Given a queue of 100 with 5 requests of each of 8 organisations
    When one organisation offers 500 more
    Then only that organisation was refused
    And each refusal is queue_full and not_run

  Scenario: A request is lost, doubled or served after its deadline
    Given any offers of any organisations
    Then no request is lost, doubled or served after its deadline
    And the queue never holds more than its bound

  Scenario: An organisation that sends slow requests one by one never pays
    Given two organisations, one of which sends one slow request at a time
    When 2000 requests are served
    Then the slow one got at most 0.6 of the slot time
