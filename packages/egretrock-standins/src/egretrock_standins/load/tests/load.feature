Feature: Generators report what callers saw

  Scenario: A stall is hidden because nothing is sent while it lasts
    Given a target that stalls for 400 ms at each request and has 1 slot
    When an open loop sends 20 requests a second for 1 s
    Then the longest latency is at least 3 times the stall

  Scenario: Two runs with one seed send different requests
    Given a target that stalls for 0 ms at each request and has 8 slots
    When an open loop sends 50 requests a second for 1 s
    And the same open loop runs again
    Then both sent the same number for each caller

  Scenario: Refused requests count as answered
    Given a target that stalls for 300 ms at each request and has 1 slot
    And the target queues 0 requests
    When a closed loop sends 8 requests on 4 connections
    Then some outcomes are status:503 and the outcomes add up to 8

  Scenario: A run does not end when the target stays silent
    Given a target that never answers
    When a closed loop sends 4 requests on 2 connections
    Then all 4 outcomes are timeout

  Scenario: A target's refusal of another request passes for the caller's own
    When a caller waits with nonce a and gets a 503 that repeats nonce b
    Then the outcome is mismatch
    When a caller waits with nonce a and gets a 503 that repeats nonce a
    Then the outcome is status:503
