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

    Examples: The other node has handed its tokens on, 0.18 for each request
      | requests | how              | least | most |
      | 60       | with tokens      | 10    | 10   |

  Scenario Outline: A node hands the tokens of a request on as long as it has them
    Given safe requests of up to 2 attempts
    And endpoints that "answer, <script>"
    And the nodes "n2" as relays, in place of e1
    And a node that has started again
    And the node is cut off from the endpoints
    When 5 requests are sent one after the other
    Then <handed> of them are handed on with their tokens
    And the node has <left> tokens left

    Examples: A second node that is asked for a request gets none
      | script    | handed | left |
      | answer    | 5      | 0    |
      | elsewhere | 5      | 0    |

  # Nothing told what a budget had earned, nor for what a repeat was sent.
  Scenario: What a budget earns and what is taken from it is counted
    Given safe requests of up to 2 attempts
    And endpoints that "refuse, refuse"
    And a node that has started again
    When 10 requests are sent one after the other
    Then the metrics say
      | metric               | labels                                       | value |
      | retry_deposits_total | origin=caller service=service                | 10    |
      | repeats_total        | cause=retry result=charged service=service   | 1     |
      | repeats_total        | cause=retry result=refused service=service   | 9     |
      | retry_tokens         | service=service                              | 0.8   |
      | retry_capacity       |                                              | 10    |
      | retry_nodes          |                                              | 0     |

  # A retry is free where the last attempt did not reach its endpoint. No order
  # of outcomes may let an endpoint get a request again that nobody charges.
  Scenario Outline: Whatever its attempts meet, a repeat is charged
    Given <kind> requests of up to 3 attempts
    When one request meets each order of 4 of "<outcomes>", and then nodes that "<nodes>"
    Then it reaches endpoints more often than it is charged once at most

    Examples:
      | kind                | outcomes                               | nodes                          |
      | safe                | refuse, unreachable, crash, foreign    | elsewhere, perhaps, answer     |
      | safe                | refuse, unreachable                    | stopping, stopping, answer     |
      | unsafe              | refuse, unreachable, answer            | elsewhere, perhaps, answer     |
      | resumable streaming | refuse, unreachable, reset 2, silent 1 | elsewhere, unreachable, events 4 |

  # The node that handed the request on took it for one that had reached no
  # endpoint, so that nobody charged the repeat.
  Scenario Outline: A node that stops tells whether an endpoint got the request
    Given safe requests of up to 2 attempts
    And endpoints that "<script>, answer"
    When another node hands over a request, and the node stops meanwhile
    Then it is told that a third node may be asked, and "<reached>"

    Examples:
      | script      | reached |
      | refuse      | 1       |
      | unreachable | 0       |
