Feature: Started processes are found ready, signalled and always ended

  Scenario: A process outlives the block that started it
    Given a fleet of 3 targets without nodes
    When the block ends by an exception
    Then none of its processes runs
    And its folder is gone

  Scenario: A stopped process cannot be ended
    Given a fleet of 3 targets without nodes
    When a target process gets SIGSTOP
    And the block ends by an exception
    Then none of its processes runs

  Scenario: A process that ends at once is waited for until the timeout
    When a process runs "raise SystemExit('no settings')"
    Then waiting for it reports "no settings" within 5 s

  Scenario: A published key can be read back
    Given a fleet of 3 targets without nodes
    Then the published configuration holds digests and no key
