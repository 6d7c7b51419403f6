Feature: The ticker of a gateway ticks often only while requests wait

  Scenario: An idle gateway ticks at most 20 times a second
    Given a gateway ticker
    When 10 seconds pass
    Then it ticked at most 200 times

  Scenario: A waiting request brings the next tick forward
    Given a gateway ticker
    When a request begins to wait
    Then the next tick comes within 0.01 seconds
    And ticks come every 0.01 seconds while it waits

  Scenario: The ticker continues after an error in a tick
    Given a gateway ticker
    When a tick raises an error
    Then more ticks follow

  Scenario: A tick can stop the ticker
    Given a gateway ticker
    When a tick stops the ticker
    Then no more ticks follow
