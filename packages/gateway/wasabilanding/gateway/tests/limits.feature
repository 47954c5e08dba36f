Feature: Nodes together keep the limits that endpoints name

  Scenario Outline: All nodes together send no more than the limit
    Given <nodes> nodes in each of 2 failure domains that know limit <limit> of e1
    And a share of <loss> of the datagrams is lost
    And <dead> of the nodes of each failure domain are dead from <at> s on
    When together they want to send <wanted> requests a second for <seconds> s
    Then in any 4 s from 3 s on at most 1.5 x <limit> x 4 + 5 are sent
    And from 3 s on at least <least> a second are sent

    Examples: Two to many nodes
      | nodes | limit | loss | dead | at | wanted | seconds | least |
      | 2     | 1     | 0    | 0    | 0  | 6      | 30      | 0.9   |
      | 3     | 1.3   | 0    | 0    | 0  | 8      | 30      | 1.2   |
      | 5     | 8     | 0    | 0    | 0  | 40     | 20      | 7     |
      | 32    | 1     | 0    | 0    | 0  | 40     | 14      | 0.9   |
      | 32    | 8     | 0    | 0    | 0  | 60     | 14      | 7     |

    Examples: One datagram in five is lost
      | nodes | limit | loss | dead | at | wanted | seconds | least |
      | 4     | 1     | 0.2  | 0    | 0  | 8      | 40      | 0.5   |
      | 4     | 8     | 0.2  | 0    | 0  | 40     | 40      | 5     |

    Examples: The node that keeps the limit dies; the next one stands in
      | nodes | limit | loss | dead | at | wanted | seconds | least |
      | 4     | 1     | 0    | 1    | 8  | 8      | 40      | 0.4   |
      | 4     | 8     | 0    | 1    | 8  | 40     | 40      | 3     |
      | 4     | 8     | 0.2  | 1    | 8  | 40     | 40      | 2     |

    Examples: A limit of zero, or less than one
      | nodes | limit | loss | dead | at | wanted | seconds | least |
      | 4     | 0     | 0    | 0    | 0  | 8      | 40      | 0.2   |
      | 4     | 0.5   | 0    | 0    | 0  | 8      | 40      | 0.4   |

  Scenario Outline: A limit that changes is kept from then on
    Given 4 nodes in each of 2 failure domains that know limit <before> of e1
    And one node learns limit <after> of e1 at 10 s
    When together they want to send 40 requests a second for 30 s
    Then from 14 s on at least <least> and at most <most> a second are sent

    Examples:
      | before | after | least | most |
      | 8      | 1     | 0.9   | 1.1  |
      | 1      | 8     | 7     | 8.2  |
      | 8      | none  | 35    | 45   |

  Scenario: A repeated question gets the same reply
    Given 4 nodes in each of 2 failure domains that know limit 1 of e1
    When the owner of e1 is asked twice under one number
    Then both replies are the same
    And one time is reserved

  Scenario Outline: What a reply says about the limit is obeyed
    Given <kind> requests of up to 2 attempts
    And endpoints that "<first>, answer"
    And e0 turns <then> at 0.5 s
    When requests are sent at <times> s
    Then e0 receives requests at <received> s

    Examples: After it has named a limit, other endpoints are preferred
      | kind   | first             | then   | times     | received |
      | safe   | limit 1 answer    | answer | 0 1 2     | 0        |
      | unsafe | limit 1 answer    | answer | 0 1 2     | 0        |
      | safe   | limit 0 answer    | answer | 0 1 2     | 0        |
      | safe   | limit 1 fail      | answer | 0 1 2     | 0        |
      | safe   | limit 1 refuse    | answer | 0 1 2     | 0        |

    Examples: A value that is no number is no limit
      | kind   | first             | then   | times     | received |
      | safe   | limit -1 answer   | answer | 0 1 2     | 0 1 2    |
      | safe   | limit few answer  | answer | 0 1 2     | 0 1 2    |
      | safe   | limit 1e3 answer  | answer | 0 1 2     | 0 1 2    |

  Scenario Outline: A limit ends with a reply to a request that does not name it
    Given safe requests of up to 1 attempts
    And endpoints that "limit 4 answer"
    And e0 turns <then> at 0.5 s
    When requests are sent at 0 1 2 2 2 2 s
    Then e0 receives requests at <received> s

    Examples:
      | then              | received    |
      | answer            | 0 1 2 2 2 2 |
      | limit few answer  | 0 1 2 2     |
      | limit 4 answer    | 0 1 2 2     |
      | refuse            | 0 1 2 2     |

  Scenario: A request that is not sent yet is sent elsewhere
    Given safe requests of up to 1 attempts
    And endpoints that "answer, answer"
    And a connection takes 0.3 s
    And e0 is known to take 1 requests a second at 0.1 s
    When requests are sent at 0 s
    Then e0 receives requests at - s
    And the last request gets 200 within 0.66 s

  Scenario: What cannot be served is rejected at once
    Given safe requests of up to 1 attempts
    And endpoints that "limit 0.5 answer"
    When requests are sent at 0 0.5 0.6 s
    Then the last request gets 503 within 0.01 s
    And it is told to return after 1.5 to 2.6 s

  Scenario Outline: Calls need no grant and end no limit
    Given safe requests of up to 1 attempts
    And endpoints that "answer"
    And e0 is known to take 1 requests a second at 0.1 s
    When a call for <purpose> is made at 0.2 s
    Then the call is sent: yes
    And e0 has a limit

    Examples:
      | purpose   |
      | placement |
      | control   |
