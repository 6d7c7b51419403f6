Feature: The clock of a gateway is fine only while it needs to be

  Scenario: An idle gateway wakes a hundred times a second
    Given a clock of a gateway
    When 10 seconds pass
    Then it made at most 200 steps

  Scenario: A request waits for a coarse step
    Given a clock of a gateway
    When a request begins to wait
    Then the next step comes within 0.01 seconds
    And the steps come each 0.01 seconds while it waits

  Scenario: An error in a step ends the clock
    Given a clock of a gateway
    When a step raises an error
    Then more steps follow

  Scenario: A stopped clock goes on
    Given a clock of a gateway
    When a step stops it
    Then no more steps follow
