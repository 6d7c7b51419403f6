Feature: The stand-in target does what its options say and records it

  Scenario: More requests run than the target has slots
    Given a target with {"slots": 2, "queue_bound": 4, "service_time": {"mean_ms": 500}}
    When 6 requests are sent at once
    Then 6 answers have status 200
    And the target's max_in_flight is 2
    And the history holds each request once

  Scenario: A shed request runs, or does not say that it did not
    Given a target with {"slots": 1, "queue_bound": 0, "service_time": {"mean_ms": 2000}}
    When 3 requests are sent at once
    Then 1 answers have status 200
    And 2 answers have status 503 and say not run
    And the target's runs is 1

  Scenario: A cold target handles load like a warm one
    Given a target with {"slots": 4, "cold_s": 30, "cold_concurrency": 1, "service_time": {"mean_ms": 2000}}
    When 3 requests are sent at once
    Then 1 answers have status 200
    And 2 answers have status 503 and say not run
    And /health shows state "cold"

  Scenario: An instance change keeps the old id
    Given a target with {"cold_s": 30}
    When the action cold is taken
    Then /health shows another instance and state "cold"

  Scenario: A crash path answers, or its run is not recorded
    Given a target with {"rules": [{"path_prefix": "/bad", "crash": true}]}
    When a request to /bad/1 breaks
    Then the process ends with code 70
    And the history file shows /bad/1 as crashed

  Scenario: A silent connection answers, or new ones do not
    Given a target with {}
    And an open connection that was answered
    When the action silence is taken
    Then a request on the open connection gets no answer
    And a request on a new connection is answered

  Scenario: A truncated body looks whole
    Given a target with {"rules": [{"path_prefix": "/cut", "body_bytes": 5000, "truncate_at_bytes": 1000}]}
    When a request to /cut breaks
    Then the target's runs is 1

  Scenario: A closed connection leaves its request running
    Given a target with {"slots": 1, "service_time": {"mean_ms": 20000}}
    When a request is sent and its connection is closed
    Then the history shows an end of connection_closed

  Scenario: A cancelled request goes on running
    Given a target with {"slots": 1, "service_time": {"mean_ms": 20000}}
    When a request is sent and cancelled by DELETE
    Then the history shows an end of cancelled

  Scenario: A request that reaches its deadline while it runs leaves no trace
    Given a target with {"slots": 1, "service_time": {"mean_ms": 20000}}
    When a request with nonce n1 and 100 ms left is sent
    Then its answer has status 503, repeats n1 and does not say not run
    And the history shows an end of deadline

  Scenario: A lying report shows the truth
    Given a target with {"reported_state": "ready", "cold_s": 30, "reported_in_flight": 7}
    Then /health shows state "ready"
    And /load shows in_flight 7
