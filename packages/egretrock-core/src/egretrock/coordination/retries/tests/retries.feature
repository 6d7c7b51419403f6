Feature: Retries and crash quarantine

  "behave -D without=NAME" disables a mechanism; the scenarios that cover it
  must then fail.

  Scenario Outline: A retry is refused if it may run a request twice or crash a second target
    Given a call that is <kind>
    When it fails with <reason>, <sent> and the instance is <instance>
    Then a retry is <decision>

    Examples:
      | kind                  | reason           | sent   | instance | decision                |
      | idempotent            | connect_failed   | unsent | unknown  | allowed                 |
      | idempotent            | shed             | sent   | alive    | allowed                 |
      | idempotent            | progress_timeout | sent   | unknown  | allowed                 |
      | idempotent            | connection_lost  | sent   | alive    | allowed                 |
      | idempotent            | connection_lost  | sent   | unknown  | refused: may_crash      |
      | idempotent            | connection_lost  | sent   | gone     | refused: may_crash      |
      | under evidence        | connect_failed   | unsent | unknown  | refused: may_crash      |
      | not idempotent        | connect_failed   | unsent | unknown  | allowed                 |
      | not idempotent        | shed             | sent   | alive    | refused: may_have_run   |
      | not idempotent        | connection_lost  | sent   | alive    | refused: may_have_run   |
      | partly answered       | connection_lost  | sent   | alive    | refused: answer_started |
      | tried 3 times         | shed             | sent   | alive    | refused: max_tries      |
      | close to its deadline | shed             | sent   | alive    | refused: deadline       |

  Scenario: Retries add little load when every call fails
    Given 1000 calls a second that all fail for 10 seconds
    Then there are at most 1020 retries: 10% of the calls, 1 a second and 10 saved

  Scenario: A crashing request sent through different nodes crashes few targets
    Given 18 nodes and random loss, duplication and reordering of messages
    When a caller sends one crashing request through one node after another
    Then at most 2 instances crash
    And one second later no node admits the request

  Scenario: A restarted node refuses a crashing request
    Given 6 nodes and a request that crashed 2 instances
    When a node is killed and restarted
    Then the new process refuses the request within a second

  Scenario: A single crash quarantines no request that was in flight
    Given 6 nodes and 20 requests in flight at a target that crashes
    Then no node refuses any of them
    And none of them is retried automatically

  Scenario: Requests involved in two crashes together are refused only briefly
    Given 6 nodes and 20 requests in flight at two targets that crash
    Then every node refuses them now and admits them after 21 seconds

  Scenario: A request that crashes busy targets stays quarantined
    Given 6 nodes and 20 requests in flight at two targets that crash
    When all of them but one succeed on other targets
    Then every node refuses the remaining one for 60 seconds

  Scenario: A success clears the evidence at every node
    Given 6 nodes and a third of all messages lost
    When there is evidence against a request at one instance and it then succeeds
    Then after 5 seconds no node has evidence against the request

  Scenario: The amount of evidence is bounded
    Given a node that receives evidence against 30000 requests
    Then it keeps at most 10000 pieces of evidence
