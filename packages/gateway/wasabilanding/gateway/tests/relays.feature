Feature: Requests go through another node where this one reaches no endpoint

  Scenario Outline: What another node says decides what the caller gets
    Given <kind> requests of up to 2 attempts
    And endpoints that "<scripts>"
    And the nodes "n2 n3" as relays, in place of e1 and e2
    And the node is cut off from the endpoints
    When requests for "/a" are sent at 0 s
    Then the request at 0 s gets <status>
    And the endpoints reached are "<reached>"

    Examples: It answers, or says that another node must be asked
      | kind                | scripts                          | status | reached |
      | safe                | answer, answer, answer           | 200    | e1      |
      | unsafe              | answer, elsewhere, answer        | 200    | e1 e2   |
      | unsafe              | answer, elsewhere, elsewhere     | 503    | e1 e2   |
      | resumable streaming | answer, elsewhere, events 4      | 200    | e1 e2   |

    Examples: It rejects, the request may have run, or its connection breaks
      | kind                | scripts                     | status | reached |
      | safe                | answer, rejected, answer    | 503    | e1      |
      | unsafe              | answer, perhaps, answer     | 502    | e1      |
      | safe                | answer, perhaps, answer     | 200    | e1 e2   |
      | unsafe              | answer, foreign, answer     | 502    | e1      |
      | resumable streaming | answer, reset 2, events 4   | 200    | e1 e2   |
      | safe                | answer, unreachable, answer | 200    | e1 e2   |

  Scenario Outline: A request that another node hands on goes no further
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And the nodes "n2" as relays, in place of e1
    And the node <state>
    When another node with configuration <version> hands over a request at 0 s
    Then the request at 0 s gets <status> with the verdict "<verdict>"
    And the endpoints reached are "<reached>"

    Examples:
      | state                          | version | status | verdict   | reached |
      | is cut off from the endpoints  | 1       | 503    | elsewhere |         |
      | reaches the endpoints          | 1       | 200    |           | e0      |
      | reaches the endpoints          | 2       | 503    | elsewhere |         |

  Scenario Outline: What a node tells another one of a request that it rejects
    Given safe requests of up to 2 attempts
    And endpoints that "<scripts>"
    And the node reaches the endpoints
    When another node with configuration 1 hands over a request at 0 s
    Then the request at 0 s gets <status> with the verdict "<verdict>"

    Examples: It may be cut off without knowing it yet, or others cannot either
      | scripts                  | status | verdict      |
      | unreachable, unreachable | 503    | elsewhere    |
      | refuse, refuse           | 503    | not_run      |
      | crash, crash             | 502    | may_have_run |

  Scenario: A node that cannot check a key serves no request of another node
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And the nodes "n2" as relays, in place of e1
    And the node last heard of the store at 0 s
    When another node with configuration 1 hands over a request at 10 s
    Then the request at 10 s gets 503 with the verdict "elsewhere"
    And the endpoints reached are ""

  # Callers of nodes that the store turned away were told to come back after a
  # second, although other nodes could serve them at once.
  Scenario Outline: A request whose key the node cannot check goes to another
    Given safe requests of up to 2 attempts
    And endpoints that "<scripts>"
    And the nodes "n2 n3" as relays, in place of e1 and e2
    And the node last heard of the store at 0 s
    When requests for "/a" are sent at 10 s
    Then the request at 10 s gets <status>
    And the endpoints reached are "<reached>"

    Examples:
      | scripts                      | status | reached |
      | answer, answer, answer       | 200    | e1      |
      | answer, elsewhere, answer    | 200    | e1 e2   |
      | answer, elsewhere, elsewhere | 503    | e1 e2   |
      | answer, rejected, answer     | 503    | e1      |

  Scenario: A node that reaches endpoints asks no other node
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And the nodes "n2" as relays, in place of e1
    When requests for "/a" are sent at 0 s
    Then the request at 0 s gets 200
    And the endpoints reached are "e0"

  Scenario: Where new connections are refused, another node is asked after two
    Given safe requests of up to 2 attempts
    And endpoints that "unreachable, unreachable, unreachable, answer"
    And the nodes "n2" as relays, in place of e3
    When requests for "/a" are sent at 0 s
    Then the request at 0 s gets 200
    And the endpoints reached are "e0 e1 e3"

  Scenario: A node that is cut off takes no endpoint for ended
    Given unsafe requests of up to 1 attempts
    And endpoints that "crash, unreachable"
    And the node checks its links for 3 s
    When requests for "/a" are sent at 0 s
    Then 0 requests are suspected
