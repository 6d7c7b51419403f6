Feature: Courses of events that chance seldom meets

  Scenario Outline: A rule against <script> is missing
    When the script <script> runs
    Then it finds nothing wrong
    And with the fault <fault> it finds something

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
