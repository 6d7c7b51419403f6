Feature: Callers that read their answers slowly

  Scenario: Small answers to callers that do not read free their targets
    Given a node that holds 10 MB of answers before it reads more slowly
    When 200 callers that do not read get answers of 30000 bytes
    Then no request is in progress, and the node holds at most 7 MB
    And each caller that reads gets its whole answer

  # Guards against targets that wait for a caller to read the last bytes.
  Scenario: An answer that is too large to be held whole is read ahead
    Given a node that holds 10 MB of answers before it reads more slowly
    When 10 callers that do not read get answers of 200000 bytes
    Then no request is in progress, and the node holds at most 3 MB
    And each caller that reads gets its whole answer

  Scenario: Large answers are read only as fast as their callers take them
    Given a node that holds 20 MB of answers before it reads more slowly
    When 200 callers that do not read get answers of 1000000 bytes
    Then 200 requests are in progress, and the node holds at most 40 MB
    And 200 answers wait for their callers, and this is counted
    And each caller that reads gets its whole answer

  # Guards against a process that is killed because it exceeds its memory.
  Scenario: Requests are refused as not run while answers fill the memory
    Given a node that holds 3 MB of answers before it reads more slowly
    And callers may take nothing for 60 seconds while answers fill the memory
    When 150 callers that do not read get answers of 200000 bytes or refusals
    Then the node holds at most 9 MB
    And a further request is refused as queue_full and not run
    When each caller that reads gets its whole answer or a refusal
    Then a further request is answered

  Scenario: Callers that take nothing are cut off while answers fill the memory
    Given a node that holds 3 MB of answers before it reads more slowly
    And callers may take nothing for 0.5 seconds while answers fill the memory
    When 150 callers that do not read get answers of 200000 bytes or refusals
    Then a further request is answered within 5 seconds
    And connections of callers were cut off and counted

  Scenario: A caller that takes nothing is cut off after a while in any case
    Given a node that holds 10 MB of answers before it reads more slowly
    And callers may take nothing for 0.5 seconds
    When 2 callers that do not read get answers of 200000 bytes
    Then the connections of both are cut off within 5 seconds
