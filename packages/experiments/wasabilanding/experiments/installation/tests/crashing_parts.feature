Feature: A part of a prompt that ends the endpoints that write on it is stopped

  Scenario Outline: Requests with it reach few endpoints once five have ended
    Given an installation with three plain endpoints a failure domain
    When requests of kind <kind> with <parts> come <pattern> for <seconds> s beside sound requests
    Then each part reaches at most 3 endpoints later than 3 s after the fifth end
    And at least 0.9 of the sound requests that come later than 6 s after the fifth end are served

    Examples: One or two such parts, at each place but the last one
      | kind   | parts                             | pattern | seconds |
      | pages  | a0,dead01,b1                      | in turn | 14      |
      | pages  | dead01,a0,b1                      | in turn | 14      |
      | pages  | a0,b1,dead01                      | in turn | 14      |
      | drafts | a0,dead01,b1                      | in turn | 18      |
      | pages  | a0,dead01,b1 and a0,dead02,b1     | in turn | 16      |
      | pages  | a0,dead01,dead02,b1               | in turn | 14      |

    Examples: Through all gateways at the same moment, one a second, or during restarts
      | kind   | parts        | pattern                | seconds |
      | pages  | a0,dead01,b1 | in bursts              | 16      |
      | drafts | a0,dead01,b1 | in bursts              | 18      |
      | pages  | a0,dead01,b1 | once a second          | 18      |
      | pages  | a0,dead01,b1 | while gateways restart | 18      |
