Feature: Published limits of a gateway

  # Guards against limits that stay in force after they were withdrawn.
  Scenario: Limits that are withdrawn give way to the defaults
    Given a gateway with published limits
    When a configuration without limits is published
    Then the limits are those of a gateway without published limits
