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

    # A share below one token once allowed no retry at all, at any load.
    Examples: The share of a node is less than a token
      | nodes | ratio | slack | requests | least |
      | 40    | 0.2   | 40    | 38       | 200   |
      | 300   | 0.2   | 251   | 60       | 2000  |
      | 1400  | 0.2   | 251   | 785      | 150000 |

    # Neither its share nor its load gives a node a token of its own.
    Examples: The share of a node is less than a token, and its requests are few
      | nodes | ratio | slack | requests | least |
      | 300   | 0.2   | 251   | 10       | 400   |

  # A node forgets at its end what it has spent. Each start once had a share of
  # the slack anew, for twelve nodes until the others were known.
  Scenario Outline: Nodes that start again spend no second share of the slack
    Given <nodes> nodes that know the number of nodes
    And an allowance of <ratio> retries per request and <slack> additional ones
    When <requests> requests fail on each node after each of <starts> starts
    Then at least <least> and at most the allowed retries are made

    Examples:
      | nodes | ratio | slack | requests | starts | least |
      | 9     | 0.2   | 109   | 5        | 4      | 40    |
      | 9     | 0.2   | 109   | 60       | 2      | 250   |
      | 63    | 0.2   | 256   | 4        | 2      | 180   |
      | 195   | 0.2   | 900   | 4        | 3      | 700   |

  # The rule counts any 10 s, and the requests of the best of three such spans;
  # a bucket forgets neither what was saved nor the load that has gone.
  Scenario Outline: Nodes of any load stay within the allowance in any 10 s
    Given <nodes> nodes that know the number of nodes
    And an allowance of 0.2 retries per request and <slack> additional ones
    When requests come at random loads for 120 s and fail for some spans
    Then in no 10 s more retries are made than allowed
    And at least 0.1 of the failed requests are retried

    Examples:
      | nodes | slack |
      | 1     | 20    |
      | 12    | 40    |
      | 40    | 40    |
      | 83    | 251   |
      | 300   | 251   |

  # A retry is charged when it is sent, and counts when it arrives: what waits
  # for endpoints that stand still arrives together.
  Scenario Outline: Retries that arrive late together stay within the allowance
    Given <nodes> nodes that know the number of nodes
    And an allowance of 0.2 retries per request and <slack> additional ones
    When <rate> requests a second fail, and <share> of the retries of <seconds> s arrive at their end
    Then in no 10 s more retries are made than allowed

    Examples:
      | nodes | slack | rate | share | seconds |
      | 83    | 251   | 282  | 0.4   | 6       |
      | 83    | 251   | 282  | 0.8   | 3       |
      | 12    | 40    | 150  | 0.8   | 6       |

  Scenario: A budget shrinks when more nodes are known
    Given a budget with 10 tokens for one service
    When it is shared by 100 nodes with a slack of 120
    Then 1 retry is allowed
