Feature: Cold endpoints, and the rate at which requests are sent to them

  Scenario Outline: What is said of an endpoint tells until when it is cold
    When it is said of e1 that "<statements>"
    Then at <at> s it stays cold for <left> s

    Examples: A newer statement replaces an older one
      | statements                            | at   | left |
      | 10 reply 3                            | 11   | 2    |
      | 10 reply 3, 11 reply 0                | 11   | 0    |
      | 10 reply 3, 11 reply 5                | 11   | 5    |
      | 10 reply 0, 11 reply 3                | 11   | 3    |
      | 10 registration 3                     | 10   | 3    |
      | 10 registration 3, 11 registration 0  | 11   | 0    |
      | 10 registration 3, 10.1 reply 0       | 10.1 | 0    |

    Examples: A registration may be older than a reply that was read before
      | statements                            | at   | left |
      | 10 reply 3, 11 registration 0         | 11   | 2    |
      | 10 reply 3, 11 registration 0.1       | 11   | 2    |
      | 10 reply 3, 12.1 registration 0       | 12.1 | 0    |
      | 10 reply 0, 11 registration 3         | 11   | 3    |
      | 10 reply 1, 10.5 registration 3       | 10.5 | 3    |

    Examples: An endpoint whose connection fails may have started again
      | statements                            | at   | left |
      | 10 failure 3                          | 11   | 2    |
      | 10 failure 3, 11 registration 0       | 11   | 2    |
      | 10 failure 3, 12.1 registration 0     | 12.1 | 0    |
      | 10 failure 3, 10.5 reply 0            | 10.5 | 0    |
      | 10 reply 9, 11 failure 3              | 11   | 8    |

  Scenario Outline: Both owners of the send times together stay below the bound
    Given endpoints that take <rate> requests a second while cold
    When both owners are asked all the time, with pauses, for 20 s
    Then at most 1.5 x <rate> + 5 may be sent in any one second

    Examples:
      | rate |
      | 0.25 |
      | 1    |
      | 8    |
      | 17   |
      | 40   |
      | 100  |

  Scenario Outline: What was sent before the nodes knew counts as well
    Given endpoints that take <rate> requests a second while cold
    When e1, which gets <load> requests a second, becomes cold and the nodes know it <later> s later
    Then at most 1.5 x <rate> + 5 reach it in any one second
    And it gets <first> s later the first request with a grant

    Examples: Up to as many as the bound allows before they know it
      | rate | load | later | first |
      | 2    | 15   | 0.5   | 1     |
      | 2    | 60   | 0.13  | 1     |
      | 17   | 60   | 0.48  | 1     |
