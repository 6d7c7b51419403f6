Feature: Leased shares and granted tokens

  Scenario: Tokens added while grants fill the capacity are discarded
    Given a pool of 10 tokens at 10 a second
    When 10 tokens are granted for 0.3 seconds
    And the pool is next advanced 0.3 seconds later
    Then its level is 0

  Scenario: A repeated lease message adds its tokens once
    Given a pool of 10 tokens at 10 a second, emptied
    When the same lease of 2 tokens arrives twice
    Then its level is 2

  Scenario: A repeated grant adds its tokens once
    Given a node that asked its home for tokens
    When the same grant of 3 tokens arrives twice
    Then the node admits 3 of 5 requests

  Scenario: A grant for the previous process of a node is ignored
    Given a node that asked its home for tokens
    When a grant of 3 tokens for its previous process arrives
    Then the node admits 0 of 5 requests

  Scenario: A repeated ask is granted only once
    Given a home with a full pool
    When the same ask arrives twice
    Then the home answers once

  Scenario: A lease for the previous process of a home is ignored
    Given a home with a full pool
    When a lease for its previous process arrives
    Then the home holds no lease

  Scenario: A message from a node that is not in the VM list is ignored
    Given a home with a full pool
    When an ask from a node that is not in the VM list arrives
    Then the home answers nothing

  Scenario: A restarted process adds no tokens at first but uses grants
    Given 18 nodes and an offered rate of 60 a second at 3 nodes
    When a node with callers restarts at 6 seconds
    Then it is not ready and mints no tokens for 3 seconds
    And it admits requests with granted tokens in that time

  Scenario: Idle organisations cause no messages
    Given 18 nodes and 50 organisations without requests
    When 10 seconds pass
    Then no message was sent

  Scenario: Messages about many busy organisations stay small
    Given 3 nodes and 50 organisations without requests
    When every organisation has a burst of requests
    Then every message has at most 1300 bytes

  Scenario: Callers at a home do not starve the callers at other nodes
    Given 18 nodes and twice the rate offered, 9 in 10 requests at the home
    When 15 seconds pass
    Then the share of requests admitted at other nodes is at least half as large

  Scenario Outline: A fleet of <count> nodes serves the whole rate
    Given <count> nodes and an offered rate of 80 a second at 1 nodes
    When 15 seconds pass
    Then less than 0.5% of the requests are refused

    Examples:
      | count |
      | 1     |
      | 2     |
      | 18    |

  Scenario: A removed organisation leaves no state behind
    Given 2 nodes and an offered rate of 80 a second at 1 nodes
    When 5 seconds pass
    And the organisation is removed and 10 more seconds pass
    Then no node has state for it
