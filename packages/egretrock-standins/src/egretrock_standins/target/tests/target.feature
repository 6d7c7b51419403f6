Feature: The stand-in target does what its options say and records it

  Scenario: No more requests run at once than the target has slots
    Given a target with {"slots": 2, "queue_bound": 4, "service_time": {"mean_ms": 500}}
    When 6 requests are sent at once
    Then 6 answers have status 200
    And the target's statistic max_in_flight is 2
    And the history contains each request once

  Scenario: A shed request does not run, and its answer says so
    Given a target with {"slots": 1, "queue_bound": 0, "service_time": {"mean_ms": 2000}}
    When 3 requests are sent at once
    Then 1 answers have status 200
    And 2 answers have status 503 and are marked as not run
    And the target's statistic runs is 1

  Scenario: A cold target sheds requests beyond its cold concurrency
    Given a target with {"slots": 4, "cold_s": 30, "cold_concurrency": 1, "service_time": {"mean_ms": 2000}}
    When 3 requests are sent at once
    Then 1 answers have status 200
    And 2 answers have status 503 and are marked as not run
    And /health shows state "cold"

  Scenario: A new instance has a new id and is cold
    Given a target with {"cold_s": 30}
    When the control action cold is called
    Then /health shows a new instance and state "cold"

  Scenario: A request to a crash path ends the process and is recorded
    Given a target with {"rules": [{"path_prefix": "/bad", "crash": true}]}
    When a request to /bad/1 fails
    Then the process ends with code 70
    And the history file shows /bad/1 as crashed

  Scenario: A silent connection gives no answers, but new ones do
    Given a target with {}
    And an open connection with an answered request
    When the control action silence is called
    Then a request on the open connection gets no answer
    And a request on a new connection is answered

  Scenario: An answer with a truncated body is incomplete
    Given a target with {"rules": [{"path_prefix": "/cut", "body_bytes": 5000, "truncate_at_bytes": 1000}]}
    When a request to /cut fails
    Then the target's statistic runs is 1

  Scenario: An upload is answered with the number of its bytes
    Given a target with {}
    When an upload of 300000 bytes is sent
    Then its answer has status 200 and tells 300000 bytes

  Scenario: An upload is answered before its end, and its rest is read off
    Given a target with {"rules": [{"path_prefix": "/up", "early_bytes": 50000, "early_status": 413}]}
    When 60000 of 300000 bytes of an upload are sent
    Then its answer has status 413 and tells at most 60000 bytes
    And the history records the end answered_early
    When the rest of it and another request are sent on the connection
    Then the other request is answered

  Scenario: Closing a connection cancels its request
    Given a target with {"slots": 1, "service_time": {"mean_ms": 20000}}
    When a request is sent and its connection is closed
    Then the history records the end connection_closed

  Scenario: A cancelled request stops running
    Given a target with {"slots": 1, "service_time": {"mean_ms": 20000}}
    When a request is sent and cancelled by DELETE
    Then the history records the end cancelled

  Scenario: A request that reaches its deadline while it runs gets a 503 and is recorded
    Given a target with {"slots": 1, "service_time": {"mean_ms": 20000}}
    When a request with nonce n1 and a deadline of 100 ms is sent
    Then its answer has status 503 and nonce n1, and is not marked as not run
    And the history records the end deadline

  Scenario: Reported state and load replace the real ones
    Given a target with {"reported_state": "ready", "cold_s": 30, "reported_in_flight": 7}
    Then /health shows state "ready"
    And /load shows in_flight 7
