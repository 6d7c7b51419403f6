Feature: Loads that a service cannot serve in time

  Requests of 8 organisations arrive at one node and wait for the slots of a
  service. Each needs 0.12 s on average, has its full value within 0.3 s and a
  deadline of 2.5 s. The same load is played with and without the forecast and
  the order by target latency.

  Scenario Outline: Callers do not wait for what cannot be served
    Given the load pattern "<pattern>"
    When it is played
    Then the time waited in vain is at most a tenth of that without the forecast
    And at least as many requests are answered within their target latency
    And no refused request has waited until its deadline
    And each refusal tells a time to return before the deadline

    Examples:
      | pattern                               |
      | a burst of twice the capacity         |
      | one organisation at 7 times its rate  |
      | no slot is usable for 4 s             |

  @known_red
  Scenario: Callers do not wait for what cannot be served at half of the slots
    Given the load pattern "half of the slots are lost for 8 s"
    When it is played
    Then the time waited in vain is at most a tenth of that without the forecast
    And at least as many requests are answered within their target latency
    And no refused request has waited until its deadline
    And each refusal tells a time to return before the deadline

  Scenario: A load that the service can serve is not refused
    Given the load pattern "steady load below the capacity"
    When it is played
    Then no request is refused

  Scenario: A short stall is not taken for the pace of the service
    Given the load pattern "no slot is usable for 0.4 s"
    When it is played
    Then no request is refused
