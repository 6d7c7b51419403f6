Feature: Freshness, readiness and partitions of a fleet

  Scenario: A connected fleet stays fresh in a platform outage of an hour
    Given a ready fleet of 5 nodes
    And messages are lost with probability 0.01
    When the platform is down for 3600 s
    Then every node was fresh the whole time

  Scenario: An isolated node stops, and the others take over its partitions
    Given a ready fleet of 3 nodes
    When a node is cut off from the platform and its peers for 4.1 s
    Then it is not fresh and holds no partition
    And the others hold all partitions 5 s later

  Scenario: A node that restarts during a platform outage becomes ready
    Given a ready fleet of 3 nodes
    When the platform is down for 10 s
    And a node restarts
    Then it is ready 8 s later

  Scenario Outline: A fleet of <count> nodes becomes ready after a full restart
    Given a ready fleet of <count> nodes
    When all nodes restart
    Then every node is ready 15 s later

    Examples:
      | count |
      | 1     |
      | 2     |
      | 19    |

  Scenario: The other nodes hold all partitions after a planned stop
    Given a ready fleet of 5 nodes
    When a node releases its partitions
    Then the others hold all partitions 3 s later

  Scenario: A node that restarts after 10 s gets its share of partitions again
    Given a ready fleet of 5 nodes
    When a node is away for 10 s and the holders move partitions 45 s later
    Then it holds its share of all partitions 5 s later

  Scenario: A new process keeps state for few unlisted senders
    Given a process without a VM list
    When 1000 senders send a heartbeat
    Then it keeps state for 64 of them

  Scenario: A refused configuration changes nothing, and nodes stay fresh
    Given a ready fleet of 3 nodes
    When a configuration without fields is published
    Then after 20 s every node is fresh, keeps revision 1 and shows findings

  Scenario: A larger limit is not used while other nodes may use the old one
    Given a ready fleet of 1 nodes
    When the rate of an organisation grows to 500
    Then it may be used 6 s later and not 5 s later

  Scenario: Heartbeats in a fleet of 19 nodes are small
    Given a ready fleet of 19 nodes
    Then a heartbeat has at most 110 bytes in JSON
