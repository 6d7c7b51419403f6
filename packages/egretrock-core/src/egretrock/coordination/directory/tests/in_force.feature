Feature: Changes are in force in time at each of many nodes

  # Guards against changes that a few of many nodes get late or not at all
  # while their lists of members differ, and against older ones that return.
  Scenario Outline: A fleet of <nodes> nodes has each change in time, <extent>, seed <seed>
    Given <nodes> nodes in 6 data centres whose links take 0.75 MB a second, seed <seed>
    When an entry changes <extent> every 0.7 seconds for 12 seconds, and meanwhile
      | at_s | disruption                                  |
      | 1.0  | a sixth of the nodes is killed              |
      | 1.5  | an eighth of the nodes is added             |
      | 2.5  | 2% of the messages are lost                 |
      | 3.5  | a third of the nodes is cut off             |
      | 4.5  | the store loses its history                 |
      | 6.5  | the cut ends                                |
      | 7.0  | a third of the nodes does not reach the store |
      | 8.0  | a sixth of the nodes is restarted           |
      | 10.0 | the store is reached again                  |
    Then no node had a version older than 3 seconds, or went back to an older one

    Examples:
      | nodes | seed | extent  |
      | 19    | 1    | wholly  |
      | 19    | 1    | in part |
      | 312   | 1    | wholly  |
      | 312   | 1    | in part |
