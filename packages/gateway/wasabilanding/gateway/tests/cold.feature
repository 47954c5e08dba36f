Feature: Nodes together send a cold endpoint no more than it takes

  Scenario Outline: All nodes want a cold endpoint at once
    Given 85 nodes in 3 failure domains that read that e1 is cold and takes <rate> requests a second
    And a share of <loss> of their datagrams is lost, each takes <delay> s
    And a connection to e1 takes up to <connect> s
    And at 2 s <fault>
    When together they want to send <wanted> requests a second to e1 for 5 s
    Then in any one second at most 1.5 x <rate> + 5 are sent
    And at least <least> a second are sent

    Examples: Rates from the lowest to the highest
      | rate | loss | delay | connect | fault          | wanted | least |
      | 0.25 | 0    | 0.002 | 0       | nothing fails  | 60     | 0.2   |
      | 1    | 0    | 0.002 | 0       | nothing fails  | 60     | 0.8   |
      | 17   | 0    | 0.002 | 0       | nothing fails  | 200    | 13    |
      | 100  | 0    | 0.002 | 0       | nothing fails  | 400    | 70    |

    Examples: Connections take time, and some take too long for the grant
      | rate | loss | delay | connect | fault          | wanted | least |
      | 17   | 0    | 0.01  | 0.08    | nothing fails  | 200    | 12    |
      | 17   | 0    | 0.01  | 0.2     | nothing fails  | 200    | 4     |
      | 100  | 0    | 0.01  | 0.08    | nothing fails  | 400    | 65    |

    Examples: Questions and replies are lost
      | rate | loss | delay | connect | fault          | wanted | least |
      | 17   | 0.2  | 0.002 | 0.05    | nothing fails  | 200    | 5     |

    Examples: The owner is lost, or nodes are cut off from it
      | rate | loss | delay | connect | fault                                            | wanted | least |
      | 17   | 0    | 0.002 | 0.05    | the owner of e1 dies                             | 200    | 7     |
      | 100  | 0    | 0.002 | 0.05    | the owner of e1 reaches only half of the nodes   | 400    | 50    |
      | 17   | 0    | 0.002 | 0.05    | half of the nodes are cut off, with the second   | 200    | 10    |
      | 100  | 0    | 0.002 | 0.05    | half of the nodes are cut off, with the owner    | 400    | 50    |

  Scenario Outline: The others have a new owner when the old one is cut off
    Given 85 nodes in 3 failure domains that read that e1 is cold and takes <rate> requests a second
    And a share of 0 of their datagrams is lost, each takes 0.002 s
    And a connection to e1 takes up to 0.05 s
    And half of the nodes, with the owner, have been cut off for long
    When together they want to send <wanted> requests a second to e1 for 5 s
    Then in any one second at most 1.5 x <rate> + 5 are sent
    And at least <least> a second are sent

    Examples:
      | rate | wanted | least |
      | 17   | 200    | 15    |
      | 100  | 400    | 80    |

  Scenario: A failure domain without nodes has one owner
    Given 85 nodes in 3 failure domains that read that e1 is cold and takes 17 requests a second
    And a share of 0 of their datagrams is lost, each takes 0.002 s
    And a connection to e1 takes up to 0 s
    And e1 is in a failure domain without nodes
    When together they want to send 200 requests a second to e1 for 5 s
    Then in any one second at most 1.5 x 17 + 5 are sent
    And at least 13 a second are sent

  Scenario: What a reply to one node says is told to all
    Given 85 nodes in 3 failure domains that read that e1 is warm and takes 17 requests a second
    And a share of 0 of their datagrams is lost, each takes 0.002 s
    When a reply at 2 s tells one node that e1 is cold
    Then the nodes of its failure domain know it 0.1 s later
    And all nodes know it 1.2 s later

  Scenario Outline: What a reply says is obeyed until it ends
    Given safe requests of up to 1 attempts
    And cold endpoints that take <rate> requests a second
    And endpoints that "<first>, answer"
    When requests are sent at <times> s
    Then e0 receives requests at <received> s

    Examples: A cold endpoint is not needed while another one has free slots
      | rate | first             | times     | received  |
      | 1    | cold 3 answer     | 0 1 2 3.5 | 0 3.5     |
      | 1    | cold 3 fail       | 0 1 2     | 0         |
      | 1    | cold 3 refuse     | 0 1 2     | 0         |
      | 1    | cold 0 answer     | 0 1 2     | 0 1 2     |

    Examples: No service has cold endpoints, or the value is no number
      | rate | first             | times     | received  |
      | 0    | cold 3 answer     | 0 1 2     | 0 1 2     |
      | 1    | cold -1 answer    | 0 1 2     | 0 1 2     |
      | 1    | cold soon answer  | 0 1 2     | 0 1 2     |

  Scenario Outline: When all endpoints are cold, what they cannot take is refused at once
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "<scripts>"
    When requests are sent at 0 <times> s
    Then e0 receives requests at <received> s
    And the last request gets <status> within <within> s

    Examples:
      | scripts       | times          | received    | status | within |
      | cold 3 answer | 0.6 0.65       | 0 0.6       | 503    | 0.01   |
      | cold 3 answer | 0.6 1.2        | 0 0.6 1.2   | 200    | 0.06   |

  Scenario Outline: Requests are spread over cold endpoints
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "answer, answer, answer"
    And endpoints e0, e1, e2 are read to be cold at 0 s
    When requests are sent at <times> s
    Then e0 receives requests at <received> s
    And the last request gets <status> within <within> s

    Examples:
      | times                | received | status | within |
      | 0.1 0.1 0.1          | 0.1      | 200    | 0.06   |
      | 0.1 0.1 0.1 0.2      | 0.1      | 503    | 0.01   |

  Scenario: A request that is not sent yet is sent elsewhere
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "answer, answer"
    And a connection takes 0.3 s
    And endpoints e0 are read to be cold at 0.1 s
    When requests are sent at 0 s
    Then e0 receives requests at - s
    And the last request gets 200 within 0.66 s

  Scenario: A grant that lapses before the connection is established is not used
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "answer"
    And a connection takes 0.3 s
    And endpoints e0 are read to be cold at 0 s
    When requests are sent at 0.1 s
    Then e0 receives requests at - s
    And the last request gets 503 within 0.31 s

  Scenario: An endpoint that may have started again counts as cold
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "unreachable, answer"
    And e0 turns answer at 0.5 s
    When requests are sent at 0 2 2 4 s
    Then e0 receives requests at 0 4 s
