Feature: An exception in one part of a gateway does not stop the others

  # Guards against a node that no longer reads the store, or never completes
  # its drain, because one part raises at each tick.
  Scenario Outline: A part that raises at each tick stops no other part
    Given a gateway whose part "<part>" raises
    When 1 second passes
    Then the reader, the drain and the connections had their ticks
    And the exceptions are counted

    Examples:
      | part       |
      | membership |
      | directory  |
      | quarantine |
      | chooser    |
      | pipeline   |
      | reader     |

  # Guards against requests that wait for the result of a probe for ever.
  Scenario: A probe whose answer cannot be read ends without a reading
    Given a prober whose answers cannot be read
    When 2 probes are due
    Then both probes ended without a reading, and 2 exceptions were reported

  # Guards against messages that are lost because of one before them.
  Scenario: A message that a part cannot handle does not lose those after it
    Given a router to a part that raises for the first message
    When the node sends itself 2 messages
    Then the part received both, and 1 exception was reported

  # Guards against a configuration that stays out of force after an exception.
  Scenario: Entries whose decoding raised are decoded again
    Given a view whose decoder raises once
    When it is refreshed twice
    Then the configuration is in force
