Feature: Docstring examples

  Scenario: The examples in docstrings match the code
    When the examples of the package egretrock run
    Then at least 5 examples ran and none failed
