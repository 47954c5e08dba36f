Feature: All nodes together add to the retry budget once for each request

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
