Feature: Who is served when a service has too little room

  Each pattern is played with the queue of a node, once with equal priorities
  and once with those of the routes, and with a schedule that knows all
  arrivals and their work ("balancing_experiment overload" prints the figures).

  Scenario Outline: The most urgent requests are served and nobody pays for more
    Given the load pattern "<pattern>"
    When it is played
    Then the most urgent route is in time at least 0.9 times as often as in the schedule
    And at least as many requests are in time as with equal priorities
    And no more requests of the most urgent route are begun in vain
    And no request waits until its deadline

    Examples:
      | pattern                                                          |
      | steady load below the capacity                                   |
      | a burst of twice the capacity                                    |
      | half of the slots are lost for 8 s                               |
      | one organisation at 7 times its rate                             |
      | 0.7 of the slots six times slower, the least urgent route bursts |
      | the most urgent route bursts                                     |
      | long and short work in one service                               |
      | callers that come back at once                                   |

  @known_red
  Scenario Outline: The most urgent requests are served though they alone are too many
    Given the load pattern "<pattern>"
    When it is played
    Then the most urgent route is in time at least 0.9 times as often as in the schedule
    And at least as many requests are in time as with equal priorities
    And no more requests of the most urgent route are begun in vain
    And no request waits until its deadline

    Examples:
      | pattern                                         |
      | no slot is usable for 4 s                       |
      | the most urgent route needs more than all slots |
      | long and short objectives of one priority       |
      | a deadline shorter than the queue               |

  Scenario: A load that the service can serve is not refused
    Given the load pattern "steady load below the capacity"
    When it is played
    Then no request is refused
