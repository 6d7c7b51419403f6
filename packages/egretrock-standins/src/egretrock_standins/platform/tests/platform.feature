Feature: The stand-in platform shows readers what the protocol says

  Background:
    Given a platform process
    And config is published as {"a": 1}

  Scenario: A watch misses a publication
    When a watch of config after 1 waits 5000 ms
    And config is published as {"a": 2}
    Then the watch answers 200 with revision 2

  Scenario: A watch that ends without news looks like a change
    When a watch of config after 1 waits 50 ms
    Then the watch answers 304 with revision 1

  Scenario: A stale replica shows the newest revision
    Given config is published as {"a": 2}
    When the control call PUT stale gets {"revisions": {"config": 1}}
    Then a read of config after 0 answers 200 with revision 1
    And a read of config after 2 answers 304 with revision 1

  Scenario: The list of VMs arrives without its lag
    Given the control call PUT vms_lag_s gets 2
    When vms is published as {"vms": {}}
    Then a read of vms after 0 answers 304 with revision 0
    And within 5 s a read of vms after 0 answers 200 with revision 1

  Scenario: A refusing platform accepts a read, or stays away after a resume
    When a watch of config after 1 waits 5000 ms
    And the control call PUT mode gets "refuse"
    Then the watch breaks
    And a read of config after 0 is refused
    When the control call PUT mode gets "serve"
    Then a read of config after 0 answers 200 with revision 1

  Scenario: A paused platform loses the reads that it held
    When the control call PUT mode gets "pause"
    And a watch of config after 0 waits 0 ms
    And the control call PUT mode gets "serve"
    Then the watch answers 200 with revision 1
