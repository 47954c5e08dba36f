Feature: Repeats stay within the allowance of a service

  # Requests that were handed on added to two budgets, and nodes whose share of
  # the slack was less than a token made no retry at all.
  Scenario Outline: All nodes together use the allowance and keep it
    Given <nodes> gateways with a retry slack of <slack>, and <endpoints> endpoints that refuse 0.9 of their requests
    When <cut> of them do not reach <unreached> of the endpoints
    And <killed> of them are killed and started again at 5 s
    And <rate> requests a second are sent through all of them for 12 s
    Then no 10 s have more repeats than the allowance
    And some 10 s have at least 0.5 of it

    Examples: Some hand requests to others, as they do not reach all endpoints
      | nodes | slack | endpoints | cut | unreached | killed | rate |
      | 6     | 15    | 10        | 4   | 8         | 0      | 60   |

    Examples: The share of a node is less than a token
      | nodes | slack | endpoints | cut | unreached | killed | rate |
      | 16    | 16    | 6         | 0   | 0         | 0      | 60   |

    Examples: Some start again, without tokens and without the other nodes
      | nodes | slack | endpoints | cut | unreached | killed | rate |
      | 6     | 60    | 6         | 0   | 0         | 4      | 60   |
