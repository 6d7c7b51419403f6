Feature: No window of t seconds admits more than rate x t + burst

  Scenario Outline: <kinds> do not let a fleet exceed a rate
    Given faults of the kinds <kinds>
    When 3 random histories are recorded
    Then no window of any history exceeds rate x t + burst

    Examples:
      | kinds                           |
      | lost, repeated, late messages |
      | repeated messages               |
      | kills                           |
      | planned stops                   |
      | freezes                         |
      | cuts                            |
      | several believed homes          |
      | list changes                    |
      | limit changes                   |
      | clock drift                     |

  Scenario: All faults together do not let a fleet exceed a rate
    Given faults of the kinds all
    When 6 random histories are recorded
    Then no window of any history exceeds rate x t + burst

  Scenario Outline: The check notices that <mechanism> is missing
    Given faults of the kinds <kinds>
    When the mechanism <mechanism> is off in up to 12 histories
    Then a window exceeds rate x t + burst

    Examples:
      | mechanism                 | kinds         |
      | grants taking up room     | clock drift   |
      | the end of a loan         | clock drift   |
      | stopping on a lent share  | clock drift   |
      | expiry of granted tokens  | freezes       |
      | freshness at admission    | limit changes |
      | late use of larger limits | list changes  |
      | restart wait              | kills         |
