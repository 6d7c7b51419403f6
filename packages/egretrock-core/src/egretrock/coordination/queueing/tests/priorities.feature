Feature: Which of the waiting requests a slot serves

  The requests of a route need 0.2 s unless a scenario says otherwise.

  Scenario: A slot goes to the most urgent request
    Given the requests
      | name  | priority | objective | deadline |
      | plain | 2        | 1.0       | 2.0      |
      | other | 1        | 1.0       | 2.0      |
      | alarm | 0        | 1.0       | 2.0      |
    Then slots serve alarm, other, plain

  Scenario: An urgent request that is late in any case gives way
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.1       | 2.0      |
      | plain | 2        | 1.0       | 2.0      |
    Then slots serve plain, alarm

  Scenario: Within a priority the least slack goes first where priorities differ
    Given the requests
      | name   | priority | objective | deadline |
      | relax  | 1        | 1.0       | 2.0      |
      | hasty  | 1        | 0.5       | 2.0      |
      | plain  | 2        | 0.3       | 2.0      |
    Then slots serve hasty, relax, plain

  Scenario: Requests of one priority are served in the order of their arrival
    Given the requests
      | name   | priority | objective | deadline |
      | relax  | 1        | 1.0       | 2.0      |
      | hasty  | 1        | 0.5       | 2.0      |
    Then slots serve relax, hasty

  Scenario: A repeat waits until the first attempts of its priority are served
    Given the requests
      | name   | priority | objective | deadline | repeat |
      | repeat | 1        | 0.5       | 2.0      | yes    |
      | first  | 1        | 1.0       | 2.0      | no     |
      | plain  | 2        | 1.0       | 2.0      | no     |
    Then slots serve first, repeat, plain

  Scenario: A repeat is not sent to a target that it excludes
    Given the requests
      | name   | priority | objective | deadline | excludes |
      | repeat | 1        | 1.0       | 2.0      | t0       |
    Then a slot of t0 is declined
    And a slot of t1 serves repeat

  Scenario: A slow slot serves the request that can still be in time there
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 0.9      |
      | plain | 2        | 1.5       | 2.0      |
    Then a slot that is 5 times slower serves plain
    And slots serve alarm

  Scenario: A slot at which no request can end by its deadline is declined
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 0.9      |
    Then a slot that is 5 times slower is declined
    And slots serve alarm

  Scenario: A wrong slowdown of all slots holds requests up for a quarter of a second
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 0.9      |
    Then a slot that is 900 times slower is declined
    And 0.26 s later a slot that is 900 times slower serves alarm

  Scenario: A request waits for a faster slot while it can be in time there
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 2.0      |
    When a usual slot was offered just before
    Then a slot that is 5 times slower is declined
    And 0.35 s later a slot that is 5 times slower serves alarm

  Scenario: A request takes the last slow slot at which it ends by its deadline
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 1.02     |
    When a usual slot was offered just before
    Then a slot that is 5 times slower serves alarm

  Scenario: Slow slots are used at once where all slots are slow
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 2.0      |
    When only slots that are 5 times slower were offered for 0.6 s
    Then a slot that is 5 times slower serves alarm

  Scenario: Overflow evicts what costs its caller least
    Given a queue of 4 and the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 1.0       | 2.0      |
      | plain | 2        | 1.0       | 2.0      |
      | late  | 1        | 0.1       | 2.0      |
      | other | 1        | 1.0       | 2.0      |
    When two requests of priority 0 arrive
    Then late, plain were evicted in this order

  Scenario: Among equal requests overflow evicts the one that needs most work
    Given a queue of 3 and the requests
      | name  | priority | objective | deadline | work |
      | long  | 2        | 1.0       | 2.0      | 0.6  |
      | short | 2        | 1.0       | 2.0      | 0.1  |
      | alarm | 0        | 1.0       | 2.0      | 0.2  |
    When one request of priority 0 arrives
    Then long was evicted

  Scenario: Overflow evicts first attempts, whose callers may return, before repeats
    Given a queue of 2 and the requests
      | name   | priority | objective | deadline | repeat |
      | plain  | 1        | 1.0       | 2.0      | no     |
      | repeat | 2        | 0.1       | 1.0      | yes    |
    When one request of priority 0 arrives
    Then plain was evicted

  Scenario: Overflow refuses the newest first attempt where priorities are equal
    Given a queue of 2 and the requests
      | name   | priority | objective | deadline | repeat |
      | plain  | 1        | 1.0       | 2.0      | no     |
      | repeat | 1        | 0.1       | 1.0      | yes    |
      | newest | 1        | 1.0       | 2.0      | no     |
    Then newest was refused on arrival and plain, repeat wait

  Scenario: A repeat waits though the forecast refuses first attempts
    Given a service that takes 2 requests a second while 30 wait
    Then a repeat with a deadline of 2.0 waits
    And a request of priority 0 with a deadline of 2.0 is refused with a time to return

  Scenario: An organisation's burst does not evict others of its priority
    Given a queue of 100 with 5 requests of each of 8 organisations and one urgent request
    When one of the organisations offers 500 more requests
    Then only requests of this organisation were evicted

  Scenario Outline: No priority is served less than a quarter as often as all
    When priority 0 asks for <urgent> and priority 1 for <plain> times what the slots serve
    Then each priority is served at least a quarter as often as all
    And priority 0 is served at least as often as priority 1

    Examples:
      | urgent | plain |
      | 1.5    | 0.3   |
      | 1.5    | 3.0   |
      | 6.0    | 0.5   |
      | 0.2    | 3.0   |

  Scenario: A request that gives way at other nodes is refused at once
    Given that 40 requests of priority 0 wait at all nodes, which serve 10 a second
    And the requests
      | name  | priority | objective | deadline |
      | first | 1        | 1.0       | 9.0      |
    Then a request of priority 1 with a deadline of 2.0 is refused with a time to return
    And a request of priority 0 with a deadline of 2.0 waits

  Scenario: A node tells what it is asked for and what waits
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 1.0       | 2.0      |
      | plain | 2        | 1.0       | 2.0      |
      | other | 2        | 1.0       | 2.0      |
    Then 1, 0, 2 requests wait by priority

  Scenario: A request that no free slot could serve in time is refused before its deadline
    Given the requests
      | name  | priority | objective | deadline |
      | alarm | 0        | 0.5       | 0.9      |
    When no slot is offered for 0.85 s
    Then alarm was refused with a time to return

  Scenario: The work of a route is learnt from answers at the usual pace
    When 20 answers take 0.1 s to 0.29 s and 20 answers of slow targets 2 s
    Then typical work is 0.25 s and the shortest 0.11 s
    And 31 s later nothing is known

  Scenario: The age of a caller that returns shows in the time that it has left
    When 40 callers of a route have 2000 ms left and 10 of them return with 1690 ms to 1780 ms
    Then the first attempts have an age of 0 s and the others of 0.31 s to 0.22 s

  # Guards against callers that are served last because they set a shorter
  # deadline than the others.
  Scenario: Callers with a shorter deadline of their own are not taken for returning ones
    When 60 callers of a route have 2000 ms left, and 40 in between have 500 ms
    Then at most 4 attempts have an age

  # Guards against a priority that starves because a higher one is negative.
  Scenario Outline: The lower of two priorities gets its share in an overload
    When 200 requests a second of priorities <higher> and <lower> meet 100 slots a second for 15 s
    Then more than a tenth of the requests of priority <lower> are served

    Examples:
      | higher | lower |
      | 0      | 2     |
      | -3     | 0     |
      | -3     | 2     |

  # Guards against a priority that is refused at once and keeps the others from
  # catching up.
  Scenario: A priority without waiting requests is not the one to catch up
    Given the rates of priorities 0, 1 and 2, of which 1 and 2 are hardly served
    Then 2 is to catch up while requests of 2 wait, and 1 while only those of 1 do

  Scenario: A slot of a target that loses answers serves only requests that may be repeated
    Given the requests
      | name  | priority | objective | deadline |
      | order | 0        | 0.5       | 0.9      |
      | read  | 1        | 0.5       | 0.9      |
    When order may run only once
    Then a slot only for repeatable requests serves read and then none

  Scenario: Declined slots are forgotten once nothing waits
    When the only request declines a slot and ends at its deadline
    Then a request that comes 20 s later declines a slot in which it would end too late

  Scenario: Callers with deadlines of their own have no age
    When 40 callers of a route have 500 ms to 2450 ms left
    Then all attempts have an age of 0 s
