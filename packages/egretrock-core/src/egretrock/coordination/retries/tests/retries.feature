Feature: Retries and crash quarantine

  "behave -D without=NAME" switches a mechanism off; the scenarios that guard
  it must then fail.

  Scenario Outline: A retry may run a request twice or crash a second target
    Given a call that is <kind>
    When it fails with <reason>, <sent> and the instance is <instance>
    Then a retry is <decision>

    Examples:
      | kind           | reason           | sent     | instance | decision             |
      | idempotent     | connect_failed   | unsent   | unknown  | allowed              |
      | idempotent     | shed             | sent     | alive    | allowed              |
      | idempotent     | progress_timeout | sent     | unknown  | allowed              |
      | idempotent     | connection_lost  | sent     | alive    | allowed              |
      | idempotent     | connection_lost  | sent     | unknown  | refused: may_crash   |
      | idempotent     | connection_lost  | sent     | gone     | refused: may_crash   |
      | suspected      | connect_failed   | unsent   | unknown  | refused: may_crash   |
      | not idempotent | connect_failed   | unsent   | unknown  | allowed              |
      | not idempotent | shed             | sent     | alive    | refused: may_have_run |
      | not idempotent | connection_lost  | sent     | alive    | refused: may_have_run |
      | answered       | connection_lost  | sent     | alive    | refused: answer_started |
      | tried 3 times  | shed             | sent     | alive    | refused: max_tries   |
      | late           | shed             | sent     | alive    | refused: deadline    |

  Scenario: Retries multiply the load when every call fails
    Given 1000 calls a second that all fail for 10 seconds
    Then there are at most 10% of them plus 1 a second plus 10 retries

  Scenario: A request crashes target after target through different nodes
    Given 18 nodes and any loss, repetition and order of messages
    When a caller sends one crashing request through one node after another
    Then at most 2 instances crash
    And after the next second no node lets the request through

  Scenario: A node that starts later lets a crashing request through
    Given 6 nodes and a request that crashed 2 instances
    When a node is killed and started again
    Then the new process refuses the request within a second

  Scenario: A target's death quarantines the requests that were in flight
    Given 6 nodes and 20 requests in flight at a target that dies
    Then no node refuses any of them
    And none of them is tried again by itself

  Scenario: Innocent requests stay refused after two deaths
    Given 6 nodes and 20 requests in flight at two targets that die
    Then every node refuses them now and lets them through after 21 seconds

  Scenario: A request that crashes busy targets is let through again and again
    Given 6 nodes and 20 requests in flight at two targets that die
    When all of them but one succeed elsewhere
    Then every node refuses that one for 60 seconds

  Scenario: A success does not end the suspicion at every node
    Given 6 nodes and a third of all messages lost
    When a request has evidence at one instance and then succeeds
    Then after 5 seconds no node has evidence against it

  Scenario: Evidence fills the memory
    Given a node that gets evidence against 30000 requests
    Then it keeps at most 10000 pieces
