@fleet
Feature: A fleet of processes keeps its guarantees under faults

  Scenario: A withdrawn key goes on working on an open connection
    Given a running fleet and an open connection of birch to each node
    And 5 of 10 platform reads come from the replica of this moment
    When load runs for 11 s
    And after 3 s birch's key is withdrawn
    And the load has ended
    Then no request of birch sent later than freshness_s and 1 s ran
    And every request of alder was answered
    And each open connection of birch gets key_unknown, and nothing ran
    And every request that was refused as not run did not run

  Scenario: A killed node mixes up answers, or a request runs twice
    Given a running fleet
    When load runs for 6 s
    And after 2 s node1 gets SIGKILL
    And the load has ended
    Then every answer was whole and belonged to its request
    And only requests to node1 were cut off
    And every non-idempotent request ran at most once
    And every request that was refused as not run did not run
    And node0 and node2 answered requests after the signal

  Scenario: A stopped node resumes and serves by its old configuration
    Given a running fleet and an open connection of birch to each node
    When node1 gets SIGSTOP
    And birch's key is withdrawn
    And birch sends a request on its open connection to node1
    And 5 s pass
    And node1 gets SIGCONT
    Then the request is refused as not run
    And no request sent by birch after the withdrawal ran
    And within 30 s node1 answers alder

  Scenario: A planned stop cuts off requests
    Given a running fleet
    When load runs for 7 s
    And after 2 s node0 gets SIGTERM
    And the load has ended
    Then every answer was whole and belonged to its request
    And every request that ran was answered
    And every request to node1 and node2 was answered
    And every request that was refused as not run did not run
    And node0 ended with exit code 0

  Scenario: The fleet stops serving while the platform is down
    Given a running fleet
    When load runs for 12 s
    And after 2 s the platform refuses connections
    And the load has ended
    Then every request was answered

  Scenario: A data centre that is out gets new work
    Given a running fleet
    When load runs for 14 s
    And after 2 s data centre west is out
    And the load has ended
    Then no request sent later than freshness_s and 1 s ran in west
    And every request that ran was answered
    And every request to node0 and node2 was answered
    And node1 ends up refusing with data_centre_out
    And every request that was refused as not run did not run
    When data centre west is in
    Then within 40 s node1 sends a request to a target in west

  Scenario: A request that crashes its target is spread over all targets
    Given a running fleet
    When alder sends the request /records/crash 8 times in a row
    Then it crashed at most 2 targets
    And it ends up refused with crash_quarantine
    And within 30 s node0 answers alder

  Scenario: A target that has just started gets more than it can handle
    Given a running fleet
    When load runs for 14 s
    And after 2 s the target new starts and is published
    And the load has ended
    Then the target new ran requests and was never overloaded while cold
    And every request was answered
