Feature: Simulation runs of a fleet under faults

  A history is one random simulation run. Messages are lost, repeated,
  delayed and reordered; links are cut in one or both directions; processes are
  suspended, killed and restarted; the rates of clocks differ by up to 1%.
  Histories with restarts or list changes end with a time without faults, in
  which every node must become ready and every partition must get a holder.

  A history shows a fault if it violates a guarantee of the fleet. A fleet with
  a fault has one of its rules disabled, to show that the checks detect it.

  Scenario: No two nodes hold the same partition at the same time
    When 15 histories with restarts run
    Then no history shows a fault

  Scenario: No old revision comes back, and no revoked key stays valid
    When 20 histories with publications run
    Then no history shows a fault

  Scenario: A stale platform replica does not keep a revoked key valid
    When 20 histories with stale replicas run
    Then no history shows a fault

  Scenario: Changes of the VM list give no partition or share to two nodes
    When 15 histories with list changes run
    Then no history shows a fault

  Scenario Outline: The checks detect a fleet with the fault <fault>
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
