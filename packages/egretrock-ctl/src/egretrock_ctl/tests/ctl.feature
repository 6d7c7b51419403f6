Feature: egretrockctl

  Scenario: A failed request is explained from the logs
    Given the logs of two nodes with three requests
    When egretrockctl explains request "r-2" from them
    Then the exit code is 0
    And the output has the node, its state and the reason, in order

  Scenario: A request that is not in the logs is reported as an error
    Given the logs of two nodes with three requests
    When egretrockctl explains request "r-9" from them
    Then the exit code is 1

  Scenario Outline: The examples in the repository pass the checks
    When egretrockctl is run with "check --kind <kind> examples/<file>"
    Then the exit code is 0

    Examples:
      | kind     | file        |
      | settings | node.yaml   |
      | config   | config.yaml |

  Scenario: A faulty configuration fails the check of a deployment script
    Given the configuration example with "profile: records" replaced by "profile: fast"
    When egretrockctl checks it as JSON
    Then the exit code is 2
    And the finding has the path services.records.profile and a line

  Scenario: A shown configuration can be published
    When egretrockctl is run with "show examples/config.yaml"
    Then the exit code is 0
    And the output is an accepted configuration

  Scenario: An unknown code or address is an error without a traceback
    When egretrockctl is run with "explain nope"
    Then the exit code is 1
    When egretrockctl is run with "status localhost:80"
    Then the exit code is 1
    And there is no traceback

  Scenario: Status and drain reach the node
    Given an operator endpoint whose node is not ready
    When egretrockctl asks it for the status
    Then the exit code is 1
    And the output names the reason
    When egretrockctl asks it to drain
    Then the exit code is 0
    And the node is asked to drain once

  Scenario: The operators' page has each refusal code and each retry reason
    Then docs/OPERATIONS.md has a row for each code, with its status, and each reason
