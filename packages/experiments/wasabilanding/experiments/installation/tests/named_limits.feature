Feature: Endpoints get no more requests than the limit that they name

  Scenario Outline: All nodes together keep the limit
    Given an installation of <nodes> gateways and two plain endpoints in each of 2 failure domains
    When <named> endpoints name <limit> requests a second at 1 s
    And <rate> requests a second of kind <kind> come for <seconds> s <how>
    Then from 3 s later on each of them gets at most 1.5 x <limit> x 4 + 5 requests in any 4 s
    And at least <served> of the requests are served
    And the others are rejected at once, with a time to return

    Examples: Some endpoints name a limit, with load for three times as much
      | nodes | named | limit | rate | kind   | seconds | how                     | served |
      | 4     | 2     | 1     | 40   | pages  | 12      | through all gateways    | 0.9    |
      | 4     | 2     | 1     | 40   | pages  | 12      | through one gateway     | 0.9    |

    Examples: All endpoints name one, so that most requests cannot be served
      | nodes | named | limit | rate | kind   | seconds | how                     | served |
      | 8     | 4     | 1     | 12   | pages  | 12      | through all gateways    | 0.2    |
      | 8     | 4     | 1.3   | 16   | pages  | 12      | while a gateway restarts | 0.2   |
      | 8     | 4     | 8     | 60   | pages  | 12      | through all gateways    | 0.3    |
      | 8     | 4     | 0     | 10   | pages  | 12      | through all gateways    | 0      |
