Feature: A log of bounded volume that never blocks

  Scenario: The log of a burst of requests is bounded
    Given a log of at most 10 lines a second and 20 in a burst
    When 200 requests are logged within a second
    Then at most 30 lines were written
    And a later line counts the dropped lines

  Scenario: Refusals are logged even after a burst of answered requests
    Given a log of at most 10 lines a second and 20 in a burst
    When 200 requests are logged within a second
    And 5 refusals are logged
    Then all refusals were written

  Scenario: An output that nobody reads does not block the node
    Given a log whose output accepts no bytes
    When 20000 refusals are logged
    Then logging took under 10 seconds and buffers at most 262144 bytes
    When the output is read again
    Then each line is a complete record or empty

  Scenario: A closed output raises no error
    Given a log whose output is closed by its reader
    When 10 refusals are logged
    Then nothing is raised

  Scenario: The metrics of a histogram add up
    When durations of 0.5 ms, 30 ms and 20 s are observed
    Then the metrics count 3 durations, 1 up to 0.001 s and 2 up to 10 s
