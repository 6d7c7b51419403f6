Feature: Sequences of events that random histories seldom contain

  A script is a fixed sequence of events, and a fault is a fleet with one of its
  rules disabled; both are named as in the steps folder.

  Scenario Outline: The script <script> detects the fault <fault>
    When the script <script> runs
    Then it finds no violation
    And with the fault <fault> it finds a violation

    Examples:
      | script             | fault                      |
      | restarted_voter    | VotesRightAfterStart       |
      | clock_factor       | PromisesWithoutClockFactor |
      | late_release       | ReleasesLaterVotes         |
      | predecessor_votes  | QuestionsNumberedFromZero  |
      | late_read          | ReadsFromReceipt           |
      | late_answer        | AnswersFromReceipt         |
      | stale_platform     | PlatformOverrulesPeers     |
      | forgotten_revision | NewProcessCountsItself     |
      | cut_off_majority   | ChangeEndsByTimeAlone      |
      | forgotten_revision | NewProcessCountsAtOnce     |
      | unfetched_revision | ConfirmsWhileBehind        |
      | platform_outage    | NoConfirmationByPeers      |
