Feature: Histories of a fleet under faults

  Messages are lost, repeated, late and out of order; links are cut in one or
  both directions; processes are stopped, killed and restarted; clocks differ
  by up to 1% of their rate. After histories with restarts or list changes the
  faults end, and then each node must become ready and each partition held.

  Scenario: Two nodes hold one partition
    When 15 histories with restarts run
    Then no history shows a fault

  Scenario: An old revision comes back, or a withdrawn key still works
    When 20 histories with publications run
    Then no history shows a fault

  Scenario: A stale platform replica keeps a withdrawn key alive
    When 20 histories with stale replicas run
    Then no history shows a fault

  Scenario: Changes of the VM list give a partition or a share away twice
    When 15 histories with list changes run
    Then no history shows a fault

  Scenario Outline: A check does not see that a rule is broken
    Given a fleet with the fault <fault>
    When 150 histories with <kind> run
    Then a history shows "<finding>"

    Examples:
      | fault                        | kind           | finding                  |
      | VotesFromReceipt             | restarts       | are held by              |
      | AcceptsOlderRevisions        | stale replicas | became                   |
      | OneAnswerConfirms            | publications   | admits by                |
      | ListsChangeAtOnce            | list changes   | the usable shares add up |
      | NewProcessUsesItsShareAtOnce | list changes   | the usable shares add up |
