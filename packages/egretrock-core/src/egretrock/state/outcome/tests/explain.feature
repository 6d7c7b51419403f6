Feature: Refusal codes

  Scenario: Every refusal code has an explanation for operators
    When every refusal code is explained
    Then each explanation has a status from 400 to 599, a meaning and an action
