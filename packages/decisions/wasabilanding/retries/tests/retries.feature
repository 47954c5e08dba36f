Feature: Retry budget

  Scenario Outline: All nodes together stay within the retry allowance
    Given <nodes> nodes that know the number of nodes
    And an allowance of <ratio> retries per request and <slack> additional ones
    When <requests> requests fail on each node
    Then at least <least> and at most the allowed retries are made

    Examples:
      | nodes | ratio | slack | requests | least |
      | 1     | 0.2   | 109   | 900      | 150   |
      | 9     | 0.2   | 109   | 100      | 200   |
      | 12    | 0.2   | 109   | 100      | 250   |
      | 86    | 0.2   | 272   | 31       | 600   |
      | 300   | 0.2   | 900   | 31       | 2000  |

  Scenario: A budget shrinks when more nodes are known
    Given a budget with 10 tokens for one service
    When it is shared by 100 nodes with a slack of 120
    Then 1 retry is allowed
