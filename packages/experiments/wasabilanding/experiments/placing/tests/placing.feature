Feature: Placing of requests by many nodes that learn of each other late

  Scenario Outline: Few requests wait that need not wait
    When the load pattern "<pattern>" is simulated with seed 1
    Then at most <share> of those that the policy "<policy>" makes late are late

    Examples:
      | pattern                            | share | policy       |
      | steady                             | 0.25  | least loaded |
      | steady                             | 0.5   | random       |
      | callers move to one failure domain | 0.5   | least loaded |
      | burst                              | 0.6   | least loaded |
