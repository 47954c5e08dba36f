Feature: Gateways that are partitioned from all endpoints go on serving

  Scenario Outline: First tries at a cut gateway are served as elsewhere
    Given an installation whose gateways can be cut from the endpoints
    When the links of <gateways> <mode> for <seconds> s beside requests of all kinds at all gateways
    Then from 3 s after the cut at least <share> of the first tries at the cut gateways are served
    And at least <share> of the first tries at the other gateways are served
    And no request that must not be repeated runs twice
    And no request that is told "not run" has run

    Examples: One gateway, a failure domain, all but one
      | gateways                            | mode   | seconds | share |
      | prov-0                              | hang   | 9       | 0.9   |
      | prov-0                              | reset  | 9       | 0.9   |
      | prov-0                              | refuse | 9       | 0.9   |
      | prov-0, prov-1                      | hang   | 9       | 0.9   |
      | prov-0, prov-1                      | reset  | 9       | 0.9   |
      | prov-0, prov-1, maipu-0             | reset  | 9       | 0.9   |

  Scenario: Gateways that are all cut say so at once, and come back
    Given an installation whose gateways can be cut from the endpoints
    When the links of prov-0, prov-1, maipu-0, maipu-1 reset for 6 s beside requests of all kinds at all gateways
    Then from 3 s after the cut each request is answered within 1 s
    And from 3 s after the end of the cut at least 0.9 of the first tries are served
    And no request that must not be repeated runs twice
    And no request that is told "not run" has run
