Feature: Changes of large entries are told as differences

  # Guards against the whole document on every link for each change of a part
  # of it: the queue of a reader then holds changes back for seconds.
  Scenario Outline: A change of a part costs <nodes> nodes few bytes
    Given <nodes> nodes with a document of 350 routes
    When a route is added and a key removed, 20 times, 0.17 seconds apart
    Then the updates took at most <size> bytes for each node and change
    And all nodes have the last document 0.3 seconds later, read by 2 nodes

    Examples:
      | nodes | size |
      | 19    | 2000 |
      | 111   | 2500 |

  # Guards against a difference that is applied to another value than the one
  # that it refers to.
  Scenario: Differences lead to the value that was written, or to no value
    Given 2000 random values, each made of the one before or of others
    Then the edits between any two lead from one to the other
    And edits that do not fit a value raise an error

  # Guards against a node that stays behind, or applies it, if a difference
  # refers to a value that it does not have.
  Scenario: A node without the base of a difference asks for the changes
    Given a directory with an entry at revision 5
    When an update has a difference to revision 4 of that entry
    Then the entry is unchanged, the missed changes are requested
    And the position and the age of the entries are unchanged
