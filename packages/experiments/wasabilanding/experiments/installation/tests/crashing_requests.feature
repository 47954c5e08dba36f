Feature: A request that ends the endpoints that run it is stopped

  Scenario Outline: It reaches few endpoints once three have ended under it
    Given an installation with three plain endpoints a failure domain
    When <count> requests that end endpoints, of kind <kind>, come <pattern> for <seconds> s beside other requests
    Then each ends at most 3 endpoints later than 3 s after the third
    And each ends at most 3 endpoints of a failure domain
    And at least <share> of the other requests of the route are served

    Examples: One submission after the other, through each gateway in turn
      | count | kind   | pattern     | seconds | share |
      | 1     | pages  | in turn     | 12      | 0.9   |
      | 1     | sheets | in turn     | 12      | 0.9   |
      | 1     | drafts | in turn     | 15      | 0.6   |
      | 2     | pages  | in turn     | 15      | 0.8   |

    Examples: Through one gateway, or with the identifier of the first submission
      | count | kind  | pattern               | seconds | share |
      | 1     | pages | through one gateway   | 12      | 0.9   |
      | 1     | pages | under one identifier  | 12      | 0.9   |

    Examples: Through all gateways at the same moment
      | count | kind  | pattern        | seconds | share |
      | 1     | pages | in bursts      | 15      | 0.8   |

    Examples: While one gateway after the other starts again
      | count | kind  | pattern        | seconds | share |
      | 1     | pages | while gateways restart | 18 | 0.8   |
