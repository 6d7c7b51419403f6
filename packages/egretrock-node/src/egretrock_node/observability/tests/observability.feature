Feature: Logs and metrics

  Scenario: Each count is sent exactly once
    Given counters that send to a statsd server
    When refusals.over_rate is counted 3 times, flushed, and counted 2 times
    And the counters are flushed
    Then the statsd server has received "egretrock.refusals.over_rate:3|c"
    And the statsd server has received "egretrock.refusals.over_rate:2|c"
    And the total of refusals.over_rate is 5

  Scenario: A line break in a value does not split a JSON log record
    When a record with the field path "a\nb" is written as JSON
    Then it is one line with the level info and the field path "a\nb"

  # Guards against errors that nobody sees, and against a log full of one error.
  Scenario: An error that repeats is logged once a minute and always counted
    When an error is reported 50 times, and once more after 61 seconds
    Then 2 lines name it, the second with 49 repeats, and 51 are counted
    And each line has at most 3000 characters

  # Guards against exceptions that no log line and no counter shows.
  Scenario: Exceptions that reach the reactor are reported
    When a deferred fails and nobody handles it
    Then 1 line names the exception, and 1 is counted
