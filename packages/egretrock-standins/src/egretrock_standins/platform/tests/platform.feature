Feature: The stand-in platform follows the platform protocol

  Background:
    Given a platform process
    And config is published as {"a": 1}

  Scenario: A watch is answered at the next publication
    When a watch of config after 1 waits 5000 ms
    And config is published as {"a": 2}
    Then the watch answers 200 with revision 2

  Scenario: A watch that ends without a change is answered 304
    When a watch of config after 1 waits 50 ms
    Then the watch answers 304 with revision 1

  Scenario: A stale replica answers with its old revision
    Given config is published as {"a": 2}
    When the control call PUT stale is made with {"revisions": {"config": 1}}
    Then a read of config after 0 answers 200 with revision 1
    And a read of config after 2 answers 304 with revision 1

  Scenario: The VM list becomes visible after its lag
    Given the control call PUT vms_lag_s is made with 2
    When vms is published as {"vms": {}}
    Then a read of vms after 0 answers 304 with revision 0
    And within 5 s a read of vms after 0 answers 200 with revision 1

  Scenario: A platform in mode refuse refuses reads until it serves again
    When a watch of config after 1 waits 5000 ms
    And the control call PUT mode is made with "refuse"
    Then the connection of the watch is lost
    And a read of config after 0 is refused
    When the control call PUT mode is made with "serve"
    Then a read of config after 0 answers 200 with revision 1

  Scenario: A platform in mode pause answers its held reads when it serves again
    When the control call PUT mode is made with "pause"
    And a watch of config after 0 waits 0 ms
    And the control call PUT mode is made with "serve"
    Then the watch answers 200 with revision 1
