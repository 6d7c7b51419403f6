Feature: A node does not take its entries for newer than they are

  # Guards against entries that waited in a queue, on a link or in a frozen
  # process and were taken for confirmed when they arrived: the node then does
  # not read the platform itself, and acts on an older configuration.
  Scenario Outline: Ages are true in a storm, <nodes> nodes, <size> bytes, <rate> MB a second
    Given <nodes> nodes in 6 data centres whose links take <rate> MB a second, seed <seed>
    When an entry of <size> bytes changes every <gap> seconds for 4 seconds, and meanwhile
      | at_s | disruption                        |
      | 1.0  | an eighth of the nodes is frozen  |
      | 2.0  | the frozen nodes wake             |
      | 2.5  | the store returns to an older copy |
    Then no node took its entries for newer than they were
    And each change was in force within 2 seconds at nodes that were not frozen

    Examples:
      | nodes | size  | rate | gap  | seed |
      | 19    | 200   | 0.75 | 0.17 | 1    |
      | 19    | 11000 | 0.75 | 0.17 | 1    |
      | 19    | 40000 | 0.2  | 0.17 | 2    |
      | 24    | 11000 | 0.75 | 0.17 | 1    |
      | 32    | 11000 | 0.75 | 0.17 | 1    |
      | 32    | 40000 | 0.2  | 0.17 | 2    |
      | 312   | 11000 | 0.75 | 0.4  | 1    |
