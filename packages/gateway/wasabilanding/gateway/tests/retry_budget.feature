Feature: All nodes together add to the retry budget once for each request

  # Both nodes added to their budgets, so that requests that were handed on
  # earned twice what they may.
  Scenario Outline: A request that another node hands over earns a repeat once
    Given safe requests of up to 2 attempts
    And endpoints that "refuse, refuse"
    And a node that has started again
    When another node hands over <requests> requests <how>
    Then the endpoints get <least> to <most> of them again

    Examples: The other node has kept the tokens, as builds do that do not tell
      | requests | how              | least | most |
      | 60       | without tokens   | 0     | 0    |

  # Nothing told what a budget had earned, nor for what a repeat was sent.
  Scenario: What a budget earns and what is taken from it is counted
    Given safe requests of up to 2 attempts
    And endpoints that "refuse, refuse"
    And a node that has started again
    When 10 requests are refused by their endpoints
    Then the metrics say
      | metric               | labels                                       | value |
      | retry_deposits_total | origin=caller service=service                | 10    |
      | repeats_total        | cause=retry result=charged service=service   | 1     |
      | repeats_total        | cause=retry result=refused service=service   | 9     |
      | retry_tokens         | service=service                              | 0.8   |
      | retry_capacity       |                                              | 10    |
      | retry_nodes          |                                              | 0     |
