Feature: What the fleet knows of the failures of targets

  Callers send 250 requests per second for 40 targets to random nodes. Four of
  the targets fail 45% of their requests although their health is good.

  # Pattern: a tenth of the targets fails 45%, with good health.
  Scenario Outline: The fleet finds the targets that fail
    Given <count> nodes that use 40 targets
    When 4 targets fail 45% of their requests for 8 seconds
    Then most nodes hold each failing target to fail after 3 seconds
    And each failing target gets less than half of an equal share after 4 seconds
    And no node holds a sound target out
    And callers get fewer than 0.6 of the failures of an equal spread
    And each failing target gets at most 7 tries in any 4 seconds
    And a node sends at most 512 bytes per second on average

    Examples:
      | count |
      | 19    |
      | 101   |

  Scenario: A fleet of 312 nodes knows the targets that fail
    Given 312 nodes that use 40 targets
    When 4 targets fail 45% of their requests for 4 seconds
    Then most nodes hold each failing target to fail after 3 seconds
    And no node holds a sound target out
    And a node sends at most 512 bytes per second on average

  Scenario: Calm costs next to nothing
    Given 19 nodes that use 40 targets
    When 0 targets fail 0% of their requests for 16 seconds
    Then no node holds a sound target out
    And a node sends at most 50 bytes per second on average

  # Pattern: targets answer a part of the requests with an error of their own.
  Scenario: Errors at a low base rate take no target out
    Given 19 nodes that use 40 targets
    When 40 targets fail 1% of their requests for 16 seconds
    Then no node holds any target out

  # Pattern: half of the targets lose half of the answers.
  Scenario: Half of the targets lose half of the answers
    Given 101 nodes that use 40 targets
    When 20 targets fail 50% of their requests for 8 seconds
    Then at most a third of the targets is out at any node
    And no node holds a sound target out
    And callers get fewer than 0.7 of the failures of an equal spread

  # Pattern: the whole service is in trouble.
  Scenario Outline: No target is out while the whole service fails
    Given 19 nodes that use 40 targets
    When 40 targets <failure> <percent>% of their requests for 8 seconds
    Then at most 2 targets are out at any node

    Examples:
      | failure | percent |
      | shed    | 100     |
      | lose    | 100     |
      | lose    | 40      |

  Scenario: A target that has recovered comes back
    Given 19 nodes that use 40 targets
    When 4 targets fail 45% of their requests for 8 seconds
    And all targets are sound for 15 seconds
    Then no node holds any target out

  # Guards against evidence of an ended instance that binds its successor.
  Scenario: A new instance of a target that is out is used
    Given 19 nodes that use 40 targets
    When 4 targets fail 45% of their requests for 8 seconds
    And the failing targets are replaced by sound instances
    And the load goes on for 8 seconds
    Then no node holds any target out

  Scenario Outline: The fleet's knowledge survives failures
    Given 19 nodes that use 40 targets
    When 4 targets fail 60% of their requests for 8 seconds
    And <fault>
    Then no node holds a sound target out
    And most nodes hold 3 failing targets out at the end
    And each failing target gets at most 7 tries in any 4 seconds

    Examples:
      | fault                                             |
      | the home is killed                                |
      | the home is frozen for 4 seconds                  |
      | the home leaves and restarts                      |
      | half of the nodes are killed                      |
      | 6 nodes are partitioned off                       |
      | 6 nodes are partitioned off and the network heals |
      | 6 nodes reach no target                           |
      | all nodes restart one after the other             |
      | the store is down for 9 seconds                   |
      | a data centre leaves and returns                  |
      | 20% of the messages are lost                      |
      | half of the messages are duplicated               |

  Scenario Outline: A service that the configuration does not ask it for has no evidence
    Given a node with evidence that is <switch>
    When it loses 3 of 4 answers of one target
    Then it sends no report, and no target of the service fails or is out

    Examples:
      | switch                        |
      | not asked for by the service  |
      | switched off                  |

  # Guards against a table that was valid before a freeze.
  Scenario: A node that was frozen uses no old verdict
    Given 19 nodes that use 40 targets
    When 4 targets fail 60% of their requests for 8 seconds
    And a node is frozen for 4 seconds
    Then that node holds no target out when it resumes
    And the same node holds 3 failing targets out 4 seconds later

  # Guards against a node that empties a service.
  Scenario Outline: A node that reports failures of all targets is not believed
    Given <count> nodes that use 40 targets
    When one node reports <what> of all targets for 8 seconds
    Then no node holds any target out

    Examples:
      | count | what             |
      | 3     | 2 failures       |
      | 19    | 2 failures       |
      | 19    | 1000 failures    |
      | 19    | malformed counts |

  # Guards against a node that keeps a failing target in use.
  Scenario: A node that reports successes of all targets is not believed
    Given 19 nodes that use 40 targets
    When one node reports 1000 successes of all targets
    And 4 targets fail 60% of their requests for 8 seconds
    Then most nodes hold 3 failing targets out after 8 seconds

  # Guards against a home that empties a service.
  Scenario: A home that takes all targets out is not believed
    Given 19 nodes that use 40 targets
    When the home tells all nodes that all targets are out
    Then no node holds any target out

  # Guards against totals of a restarted node that count twice.
  Scenario: The totals of a restarted node replace its old ones
    Given the home of a service with 9 targets and 4 nodes
    When 3 nodes report a failed attempt at one target
    And the same nodes restart and report the same
    Then the table of the home names a failure rate of 0.5 to 0.63

  Scenario: A report that was overtaken is ignored
    Given the home of a service with 9 targets and 4 nodes
    When 3 nodes report a failed attempt at one target
    And an older report of theirs with 9 failures arrives late
    Then the table of the home names a failure rate of 0.5 to 0.63

  Scenario: A node without an answer of its home uses what it has seen
    Given one node whose home does not answer
    When it loses 3 of 4 answers of one target
    Then it holds this target to fail 0.4 to 0.6 of its requests
    And it holds the target not out
    And 30 seconds later it holds it to fail less than 0.05

  Scenario: The rooms of all nodes are summed
    Given 19 nodes that use 40 targets
    When each node offers 3, takes 2 and has 1 and 4 requests waiting
    Then each node knows that the fleet offers 57, takes 38 and lets 19 and 76 wait
    And the same holds without the last of the nodes after 14 seconds

  Scenario: The largest messages fit a datagram
    Then a report and a table of 200 targets each fit a datagram
