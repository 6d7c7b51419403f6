Feature: The soak sees a broken promise

  Scenario Outline: A broken promise passes
    Given a run in which <what>
    Then the finding is "<promise>"

    Examples:
      | what                                                      | promise                                                        |
      | a caller gets the answer of another request               | each caller gets the whole answer to its own request           |
      | a payout runs twice                                       | a request that may not be repeated runs at most once           |
      | a payout is refused and has run                           | a refusal that says not run is true                            |
      | a target runs what nobody sent                            | a target runs only what a caller sent                          |
      | a target sees a key                                       | no target sees a key                                           |
      | a request is cut off at a gateway that stops as planned   | no request that ran is cut off by a planned stop or a change   |
      | a target runs a request long after it was to leave        | a leaving target gets no new work                              |
      | a withdrawn key works                                     | a withdrawn key stops working                                  |
      | a gateway stays away                                      | every gateway serves again after the faults                    |
      | a planned stop ends with code 1                           | a planned stop ends in order                                   |

  Scenario Outline: A fault that may cut a request off counts against the gateway
    Given a run in which <what>
    Then there is no finding

    Examples:
      | what                                              |
      | a request is cut off at a gateway that is killed  |
      | a request is cut off before it ran                |
      | a read runs twice                                 |

  Scenario: Two runs of one seed play different faults
    Then each of 20 seeds gives the same plan twice, and the plans differ

  Scenario Outline: The proxy does not disturb what it passes on
    Given a server behind a proxy, and an open connection
    When the proxy is set to <mode>
    Then a request on the connection <end>
    When the proxy is set to PASS
    Then a request on a new connection is answered

    Examples:
      | mode       | end                         |
      | PASS       | is answered                 |
      | DELAY      | is answered after 0.1 s     |
      | SILENT     | is not answered             |
      | NO_ANSWERS | is received, not answered   |
      | RESET      | breaks                      |
