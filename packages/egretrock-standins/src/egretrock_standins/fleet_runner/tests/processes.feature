Feature: Child processes report readiness, get signals and are always ended

  Scenario: No process outlives the block that started it
    Given a fleet of 3 targets without nodes
    When the block ends with an exception
    Then none of its processes runs
    And its folder is removed

  Scenario: A process stopped by SIGSTOP is ended
    Given a fleet of 3 targets without nodes
    When a target process gets SIGSTOP
    And the block ends with an exception
    Then none of its processes runs

  Scenario: Waiting for readiness fails at once if the process has ended
    When a process runs "raise SystemExit('no settings')"
    Then waiting for its readiness fails with "no settings" within 5 s

  Scenario: The platform holds no readable key
    Given a fleet of 3 targets without nodes
    Then the published configuration holds digests and no key
