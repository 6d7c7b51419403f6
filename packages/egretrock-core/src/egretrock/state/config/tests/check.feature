Feature: Checks of the published configuration

  Scenario: All errors are reported together
    Given a valid configuration
    And the value organisations.acme.rate_per_s is -1
    And the value services.records.targets.r1.slots is 0
    And the value services.records.targets.r1.data_centre is 7
    When it is checked
    Then there is a finding at organisations.acme.rate_per_s
    And there is a finding at services.records.targets.r1.slots
    And there is a finding at services.records.targets.r1.data_centre
    And the configuration is refused

  Scenario: References to missing entries and a bad address are refused
    Given a valid configuration
    And the value services.records.profile is "fast"
    And the value services.records.targets.r1.address is "localhost:80"
    And the value services.records.targets.r1.data_centre is "north"
    And the value routes.all.service is "none"
    When it is checked
    Then there is a finding at services.records.profile
    And there is a finding at services.records.targets.r1.address
    And there is a finding at services.records.targets.r1.data_centre
    And there is a finding at routes.all.service
    And the configuration is refused

  Scenario: A profile with hedging is refused, since nodes do not hedge yet
    Given a valid configuration
    And the value profiles.records.hedge is {"enabled": true}
    When it is checked
    Then there is a finding at profiles.records.hedge.enabled
    And the configuration is refused

  Scenario: A misspelt field is refused, not replaced by its default
    Given a valid configuration
    And the value routes.all.idempotant is true
    When it is checked
    Then there is a finding at routes.all.idempotant
    And the configuration is refused

  # Guards against figures that overflow once the configuration is in force.
  Scenario Outline: A figure out of range is refused
    Given a valid configuration
    And the value <path> is <value>
    When it is checked
    Then there is a finding at <path>
    And the configuration is refused

    Examples:
      | path                                | value                |
      | organisations.acme.rate_per_s       | 1e300                |
      | organisations.acme.burst            | 1e300                |
      | services.records.targets.r1.slots   | 10000000000000000000 |
      | services.records.targets.r1.address | "127.0.0.1:65536"    |
      | services.records.targets.r1.address | "127.0.0.1:0080"     |
      | routes.all.timeout_ms               | 10000000000000000000 |

  # Guards against a check that raises and so leaves the document unanswered.
  Scenario Outline: Nested lists and long numbers are refused
    When a configuration with <count> of "<character>" in <field> is checked
    Then the configuration is refused

    Examples:
      | count | character | field   |
      | 5000  | [         | routes  |
      | 5000  | 9         | slots   |
      | 5000  | 9         | address |

  Scenario: A valid configuration is accepted
    Given a valid configuration
    When it is checked
    Then the configuration is accepted

  Scenario Outline: Bytes that are not a configuration are refused
    When the bytes <bytes> are checked
    Then the configuration is refused

    Examples:
      | bytes            |
      | {                |
      | []               |
      | {"services": 1}  |
      | \xff             |
