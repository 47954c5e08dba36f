Feature: Nodes together send a cold endpoint no more than it takes

  Scenario Outline: All nodes want a cold endpoint at once
    Given 29 nodes in each of 3 failure domains that read that e1 is cold and takes <rate> requests a second
    And each datagram takes <delay> s, and a connection up to <connect> s
    And a share of <loss> of the datagrams is lost
    And <dead> of the nodes of each failure domain are dead from 2 s on
    When together they want to send 400 requests a second for 5 s
    Then in any 1 s from 0 s on at most 1.5 x <rate> x 1 + 5 are sent
    And from 0 s on at least <least> a second are sent

    Examples: Rates from the lowest to the highest; late grants; the owner dies
      | rate | delay | connect | loss | dead | least |
      | 0.25 | 0.002 | 0       | 0    | 0    | 0.2   |
      | 1    | 0.002 | 0       | 0    | 0    | 0.8   |
      | 17   | 0.002 | 0       | 0    | 0    | 12    |
      | 100  | 0.01  | 0.08    | 0    | 0    | 55    |
      | 17   | 0.01  | 0.2     | 0    | 0    | 3     |
      | 17   | 0.002 | 0.05    | 0.2  | 0    | 5     |
      | 17   | 0.002 | 0.05    | 0    | 1    | 7     |

  Scenario Outline: Nodes are cut off from the others and from the store
    Given 29 nodes in each of 3 failure domains that read that e1 is cold and takes <rate> requests a second
    And each datagram takes 0.002 s, and a connection up to 0.05 s
    And half of the nodes, with the <which> owner, are cut off from <at> s on
    When together they want to send 400 requests a second for 5 s
    Then in any 1 s from 0 s on at most 1.5 x <rate> x 1 + 5 are sent
    And from 0 s on at least <least> a second are sent

    Examples:
      | rate | which  | at | least |
      | 17   | second | 2  | 10    |
      | 100  | first  | 2  | 50    |

  Scenario: Others own the send times when the owner is cut off for long
    Given 29 nodes in each of 3 failure domains that read that e1 is cold and takes 100 requests a second
    And each datagram takes 0.002 s, and a connection up to 0.05 s
    And half of the nodes, with the first owner, are cut off from 0 s on
    And the others have removed the nodes that are cut off
    When together they want to send 400 requests a second for 5 s
    Then in any 1 s from 0 s on at most 1.5 x 100 x 1 + 5 are sent
    And from 0 s on at least 80 a second are sent

  Scenario: A failure domain without nodes has one owner
    Given 29 nodes in each of 3 failure domains that read that e1 is cold and takes 17 requests a second
    And e1 is in a failure domain without nodes
    When together they want to send 400 requests a second for 5 s
    Then in any 1 s from 0 s on at most 1.5 x 17 x 1 + 5 are sent

  # They do not reply to questions on cold endpoints, so that all nodes of
  # today's build were refused as long as the upgrade took.
  Scenario: No node of the endpoint's failure domain is upgraded yet
    Given 29 nodes in each of 3 failure domains that read that e1 is cold and takes 17 requests a second
    And the nodes of failure domain z0 are of the previous build
    When together they want to send 400 requests a second for 5 s
    Then from 0 s on at least 12 a second are sent
    And in any 1 s from 0 s on at most 1.5 x 17 x 1 + 5 are sent

  Scenario: What a reply to one node says is told to all
    Given 29 nodes in each of 3 failure domains that read that e1 is cold and takes 17 requests a second
    When a reply tells one node at 2 s that e1 becomes cold
    Then the nodes of failure domain z0 know it 0.3 s later
    And the nodes of failure domain z know it 0.3 s later

  Scenario Outline: What a reply says is obeyed until it ends
    Given safe requests of up to 1 attempts
    And cold endpoints that take <rate> requests a second
    And endpoints that "<first>, answer"
    When requests are sent at 0 1 2 3.5 s
    Then e0 receives requests at <received> s

    Examples: Another one has free slots; no service has cold endpoints; invalid values
      | rate | first            | received  |
      | 1    | cold 3 answer    | 0 3.5     |
      | 1    | cold 3 refuse    | 0 3.5     |
      | 1    | cold 0 answer    | 0 1 2 3.5 |
      | 0    | cold 3 answer    | 0 1 2 3.5 |
      | 1    | cold -1 answer   | 0 1 2 3.5 |

  Scenario: An endpoint that becomes cold in use gets nothing for a second
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "cold 3 answer"
    When requests are sent at 0 0.2 0.6 1.2 1.3 1.8 s
    Then e0 receives requests at 0 1.2 1.8 s

  Scenario Outline: When all are cold, requests are spread, and the rest is refused at once
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "answer, answer, answer"
    And endpoints e0, e1, e2 are read to be cold at 0 s
    When requests are sent at <times> s
    Then e0 receives requests at 0.1 s
    And the last request gets <status> within <within> s

    Examples:
      | times           | status | within |
      | 0.1 0.1 0.1     | 200    | 0.06   |
      | 0.1 0.1 0.1 0.2 | 503    | 0.01   |

  Scenario Outline: A request that is not sent yet is held back
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "<scripts>"
    And a connection takes 0.3 s
    And endpoints e0 are read to be cold at <at> s
    When requests are sent at 0.1 s
    Then e0 receives requests at - s
    And the last request gets <status> within 0.66 s

    Examples: It became cold meanwhile; a grant has lapsed
      | scripts        | at  | status |
      | answer, answer | 0.2 | 200    |
      | answer         | 0   | 503    |

  Scenario: An endpoint that may have started again counts as cold
    Given safe requests of up to 1 attempts
    And cold endpoints that take 2 requests a second
    And endpoints that "unreachable, answer"
    And e0 turns answer at 0.5 s
    When requests are sent at 0 2 2 4 s
    Then e0 receives requests at 0 4 s
