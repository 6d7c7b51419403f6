Feature: Generators report what callers saw

  Scenario: A stall shows in the latencies of an open loop
    Given a target that stalls for 400 ms at each request and has 1 slot
    When an open loop sends 20 requests a second for 1 s
    Then the longest latency is at least 3 times the stall

  Scenario: Two runs with the same seed send the same load
    Given a target that stalls for 0 ms at each request and has 8 slots
    When an open loop sends 50 requests a second for 1 s
    And the same open loop runs again
    Then both runs sent the same number of requests for each caller

  Scenario: Refused requests are counted under their status
    Given a target that stalls for 300 ms at each request and has 1 slot
    And the target queues 0 requests
    When a closed loop sends 8 requests on 4 connections
    Then some outcomes are status:503 and the outcomes add up to 8

  Scenario: A run ends although the target never answers
    Given a target that never answers
    When a closed loop sends 4 requests on 2 connections
    Then all 4 outcomes are timeout

  Scenario: A target's refusal of another request is a mismatch
    When a caller waiting for nonce a gets a 503 with nonce b
    Then the outcome is mismatch
    When a caller waiting for nonce a gets a 503 with nonce a
    Then the outcome is status:503
