Feature: Budget of retries

  Scenario Outline: All nodes together stay within what is allowed
    Given <nodes> nodes that know of each other
    And an allowance of <ratio> for each request and <slack> on top
    When each node gets <requests> requests, all of which fail, in a window
    Then at most the allowed retries are made, and at least <least> of them

    Examples:
      | nodes | ratio | slack | requests | least |
      | 1     | 0.2   | 109   | 900      | 150   |
      | 9     | 0.2   | 109   | 100      | 200   |
      | 12    | 0.2   | 109   | 100      | 250   |
      | 86    | 0.2   | 272   | 31       | 600   |
      | 300   | 0.2   | 900   | 31       | 2000  |

  Scenario: A budget shrinks as more nodes are known
    Given a budget with 10 tokens for one service
    When it is shared by 100 nodes with a slack of 120
    Then 1 retry may be made
