Feature: Docstring examples

  Scenario: An example in a docstring no longer matches the code
    When the examples of the package egretrock run
    Then at least 5 examples ran and none failed
