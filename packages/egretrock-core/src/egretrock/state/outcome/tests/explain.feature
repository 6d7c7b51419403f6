Feature: Refusal codes

  Scenario: A refusal code is added without a text for operators
    When every refusal code is explained
    Then each explanation has a status from 400 to 599, a meaning and an action
