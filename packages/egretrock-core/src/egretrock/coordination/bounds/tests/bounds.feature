Feature: Bounds on the requests of all nodes to a target

  # Guards against a target that gets more than the limit it named.
  Scenario Outline: A fleet stays within the limit that a target names
    Given <count> nodes that send 10 times the limit of 4 per second
    When <fault>
    Then at most 29 requests reach the target in any 4 seconds

    Examples:
      | count | fault                                                   |
      | 17    | 6 nodes are partitioned off                             |
      | 17    | the fleet splits into three                             |
      | 17    | all nodes are killed and restarted                      |
      | 17    | the home is killed every 3 seconds                      |
      | 17    | the home is frozen for 2 seconds, every 3 seconds       |
      | 17    | the home leaves, keeps serving and restarts, repeatedly |
      | 17    | 20% of the messages are lost                            |
      | 17    | half of the messages are duplicated                     |
      | 17    | nodes join one by one                                   |

  Scenario Outline: A fleet of any size can use the limit, and no more
    Given <count> nodes that send 20 times the limit of 4 per second
    When no fault occurs
    Then at most 29 requests reach the target in any 4 seconds
    And at least half of the limit is used
    And the fleet sends at most 400 asks per second

    Examples:
      | count |
      | 1     |
      | 2     |
      | 17    |
      | 133   |
      | 312   |

  Scenario Outline: A fleet stays within limits of other rates
    Given 17 nodes that send 10 times the limit of <rate> per second
    When no fault occurs
    Then at most <most> requests reach the target in any 4 seconds

    Examples:
      | rate | most |
      | 0    | 5    |
      | 0.5  | 8    |
      | 7.7  | 51   |
      | 40   | 245  |

  # Guards against a cold target that crashes because many nodes use it.
  Scenario Outline: A fleet stays within the warm-up rate of a cold target
    Given 17 nodes that send 10 times the warm-up rate of 21 per second
    When <fault>
    Then at most 36 requests reach the target in any 1 second
    And at least a quarter of the warm-up rate is used

    Examples:
      | fault                                                   |
      | no fault occurs                                         |
      | 6 nodes are partitioned off                             |
      | the fleet splits into three                             |
      | all nodes are killed and restarted                      |
      | the home is killed every 3 seconds                      |
      | the home is frozen for 2 seconds, every 3 seconds       |
      | the home leaves, keeps serving and restarts, repeatedly |

  Scenario: Nodes that have not asked the target learn of its limit
    Given 17 nodes that send 10 times the limit of 4 per second
    When the limit is named to one node only
    Then all nodes know it after 0.2 seconds

  # Guards against nodes that exceed a limit because they missed its start.
  Scenario Outline: A node that returns learns a limit before it asks the target
    Given 17 nodes that send 10 times the limit of 4 per second
    When a node <absence> while the limit is named to another one
    Then all nodes know it 2 seconds after its return

    Examples:
      | absence               |
      | restarts              |
      | is partitioned off    |
      | is frozen             |

  # Guards against old news that a node reads only after it was frozen.
  Scenario: The end of a limit that a frozen node hears late does not hide a new one
    Given 17 nodes that send 10 times the limit of 4 per second
    When a limit ends while a node is frozen and begins again before it resumes
    Then all nodes know it 2 seconds after its return
    When that node hears the limit from the target and another one hears its end
    Then no node knows a limit 2 seconds later

  Scenario: The end of a limit is known to all nodes
    Given 17 nodes that send 10 times the limit of 4 per second
    When the target names no limit any more after 5 seconds
    Then no node knows a limit 2 seconds later

  Scenario: A lower limit replaces a higher one
    Given 17 nodes that send 10 times the limit of 40 per second
    When the target lowers its limit to 4 after 5 seconds
    Then at most 29 requests reach the target in any 4 seconds from 1 second later

  Scenario: A limit does not end by one late answer without it
    Given 2 nodes that send 10 times the limit of 4 per second
    When a node gets an answer without a limit 0.1 seconds after one with it
    Then all nodes know it after 0.2 seconds

  # Guards against a node that fails because of one message of a peer.
  Scenario Outline: A limit of <rate> in a message is taken as the lowest limit
    Given 1 nodes that send 10 times the limit of 4 per second
    When a peer asks for requests and tells a limit of <rate>
    Then the peer is told to wait

    Examples:
      | rate |
      | 0    |
      | -1   |
