Feature: Exchange of hints between nodes

  Background:
    Given nodes n1 and n2 in failure domain z1 and n3 in z2

  Scenario Outline: A silent endpoint is reported within the failure domain
    Given node n1 saw progress of endpoint e2 <worked> s ago
    When node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "<nodes>"

    Examples:
      | worked | nodes |
      | 0.1    | n1 n2 |
      | 0.9    |       |

  Scenario: A node that saw recent progress itself ignores the report
    Given node n1 saw progress of endpoint e2 0.1 s ago
    And node n2 saw progress of endpoint e1 0.1 s ago
    When node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "n1"

  Scenario: A node ignores the report if a third node saw recent progress
    Given node n1 saw progress of endpoint e2 0.1 s ago
    And node n2 receives the datagram {"sender": "n9", "hints": [{"node": "n9", "in_flight": {"e1": 3}, "worked_ago_s": {"e1": 0.1}}]}
    When node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "n1"

  Scenario: Nodes of a failure domain know each other's load
    When node n1 sends 3 requests to e1
    And node n2 sends 2 requests to e1
    And the nodes exchange hints for 0.3 s
    Then the nodes count "n1 5 n2 5 n3 0" requests at e1

  Scenario: The end of load is reported too
    When node n1 sends 3 requests to e1
    And the nodes exchange hints for 0.3 s
    And node n1 has received its answers from e1
    And the nodes exchange hints for 0.3 s
    Then the nodes count "n1 0 n2 0 n3 0" requests at e1

  Scenario Outline: Load is exchanged even if the first nodes are dead
    Given <count> nodes of one failure domain, each with a request in flight
    And the first <dead> of them are dead
    When they exchange hints for <seconds> s
    Then each node knows the load of all nodes

    Examples:
      | count | dead | seconds |
      | 12    | 1    | 2.0     |
      | 50    | 1    | 3.0     |
      | 50    | 3    | 6.0     |

  Scenario Outline: The number of datagrams grows linearly with the number of nodes
    Given <count> nodes of one failure domain, each with a request in flight
    When they exchange hints for 2 s
    Then each node knows the load of all nodes
    And at most <datagrams> datagrams were sent

    Examples: Direct exchange, periods of 0.05 and 0.224 s
      | count | datagrams |
      | 3     | 246       |
      | 29    | 8050      |

    # Two per other node and period, and one more period at the start.
    Examples: Exchange through a collector, periods of 0.4 s
      | count | datagrams |
      | 100   | 1188      |

  Scenario Outline: An invalid datagram is ignored
    When node n2 receives the datagram <data>
    And node n1 saw progress of endpoint e2 0.1 s ago
    And node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "n1 n2"

    Examples:
      | data                            |
      | nothing                         |
      | \xff\xfe                        |
      | null                            |
      | {"sender": "n1", "hints": {}}   |
      | {"sender": "n1", "hints": [{"silent": "e1"}]}   |
      | {"hints": []}                   |
      | {"sender": "n1", "hints": [{"node": 1, "silent": []}]} |
      | {"sender": "n1", "hints": [{"node": "n1"}]}     |
      | {"sender": "n1", "hints": [{"node": "n1", "silent": "e99"}]} |
      | {"sender": "n1", "hints": [{"node": "n1", "in_flight": {"e1": -1}}]} |
      | {"sender": "n1", "hints": [{"node": "n1", "worked_ago_s": {"e1": "x"}}]} |
      | {"sender": "n1", "hints": [{"node": "n1", "worked_ago_s": {"e1": -5}}]} |
      | {"sender": "n1", "hints": [{"node": "n1", "worked_ago_s": {"e99": 0}}]} |

  Scenario Outline: An invalid address does not hide the others
    Given the stored address of a node is <value>
    And node n1 saw progress of endpoint e2 0.1 s ago
    When node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "n1 n2"

    Examples:
      | value         |
      | \xff          |
      | {"node": "n"} |

  Scenario Outline: A node keeps its address in the store
    Given the store <trouble>
    When a node registers its address for <seconds> s
    Then the store has the address at the end
    And the node made at most <calls> calls

    Examples:
      | trouble                  | seconds | calls |
      | answers                  | 100     | 5     |
      | grants no lease at first | 20      | 3     |
      | forgets the lease        | 70      | 6     |

  Scenario: A port in use delays the hints but does not stop the node
    Given a port that another process holds for 3 s
    When a node binds its socket to the port
    Then the socket is bound between 3 and 6 s later
