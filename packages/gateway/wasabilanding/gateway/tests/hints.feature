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

  Scenario: A report on the previous start of an endpoint does not concern the next
    Given node n1 saw progress of endpoint e2 0.1 s ago
    And node n2 has seen e1 start again
    When node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "n1"

  Scenario Outline: A node of the previous build reports no start
    Given node n2 has seen e1 start again
    And node n2 receives the datagram {"sender": "n9", "hints": [{"node": "n9", "silent": "e1"<start>}]}
    When the nodes exchange hints for 0.1 s
    Then the nodes that consider e1 silent are "<nodes>"

    Examples:
      | start                       | nodes |
      |                             | n2    |
      | , "silent_started_at_ms": 7 | n2    |
      | , "silent_started_at_ms": 6 |       |

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

  Scenario: Nodes of all failure domains know each other's load
    When node n1 sends 3 requests to e1
    And node n2 sends 2 requests to e1
    And the nodes exchange hints for 0.3 s
    Then the nodes count "n1 5 n2 5 n3 5" requests at e1

  Scenario: The end of load is reported too
    When node n1 sends 3 requests to e1
    And the nodes exchange hints for 0.3 s
    And node n1 has received its answers from e1
    And the nodes exchange hints for 0.3 s
    Then the nodes count "n1 0 n2 0 n3 0" requests at e1

  # Neither node has load, so that only the waiting requests cause hints.
  Scenario Outline: Waiting requests, and their end, are known to all nodes
    When 3 requests of customer a wait at node n1
    And the nodes exchange hints for 0.5 s
    And <left> requests of customer a wait at node n1
    And the nodes exchange hints for <seconds> s
    Then the nodes know of "<known>" requests waiting elsewhere

    Examples:
      | left | seconds | known          |
      | 3    | 0       | n1 0 n2 3 n3 3 |
      | 3    | 4       | n1 0 n2 3 n3 3 |
      | 0    | 0.5     | n1 0 n2 0 n3 0 |

  Scenario: Waiting requests are known through collectors
    Given 12 nodes in each of 3 failure domains, each with a request in flight
    And 2 requests of customer a wait at each node
    Then after 2 s each node knows of 70 of them elsewhere

  # A node of an older build has no such field, and one of a newer build more.
  Scenario: A field that a node does not know does not hide the others
    When node n2 receives the datagram {"sender": "n9", "newer": 1, "hints": [{"node": "n9", "newer": {"a": 1}, "in_flight": {"e1": 3}}]}
    Then the nodes count "n1 0 n2 3 n3 0" requests at e1

  # A node of a newer build may send kinds of reports, and values, that this
  # one does not know.
  Scenario Outline: A message of an unknown kind costs that message alone
    When node n2 receives the datagram {"sender": "n9", <other> "hints": [{"node": "n9", <inner> "in_flight": {"e1": 3}}, {"node": "n8", "in_flight": {"e1": 2}}]}
    Then the nodes count "n1 0 n2 <counted> n3 0" requests at e1

    Examples:
      | other                                      | inner                                  | counted |
      |                                            | "crashes": [{"kind": "new"}],          | 5       |
      |                                            | "crashes": [7], "cold": [{}, {}],      | 5       |
      |                                            | "limits": [{"endpoint_id": "e1"}],     | 5       |
      |                                            | "leaving": [{"started_at_ms": -1}],    | 5       |
      | "questions": [{"number": 1, "new": {}}],   |                                        | 5       |
      | "replies": [{"number": 1}],                |                                        | 5       |
      | "evacuations": [{"region": "r1"}],         |                                        | 5       |
      | "changes": {"endpoints": [{"name": "e"}]}, |                                        | 5       |
      |                                            | "crashes": [{"kind": "new"}], "silent": 7, | 2   |
      | "questions": 5,                            |                                        | 0       |

  Scenario Outline: Each node knows the load of all failure domains
    Given 12 nodes in each of 3 failure domains, each with a request in flight
    And the first <dead> nodes of each failure domain are dead
    When they exchange hints for <seconds> s
    Then each node knows the load of all nodes

    Examples:
      | dead | seconds |
      | 0    | 1.0     |
      | 1    | 4.0     |
      | 2    | 6.0     |

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

  # Nodes that repeated what others had told kept a stopped endpoint alive: each
  # new datagram dated its last progress a little later. It may be dated later
  # by two periods of the reports, less 0.3 s.
  Scenario Outline: Nodes do not keep a stopped endpoint alive among themselves
    Given <count> nodes of one failure domain, each with a request in flight
    And node n001 saw progress of endpoint e1 0 s ago
    When they exchange hints for 3 s
    Then each node knows the last progress of e1 to <error> s

    Examples: Direct exchange, and through a collector
      | count | error |
      | 3     | 0.05  |
      | 29    | 0.2   |
      | 50    | 0.55  |

  Scenario Outline: The number of datagrams grows linearly with the number of nodes
    Given <count> nodes of one failure domain, each with a request in flight
    When they exchange hints for 2 s
    Then each node knows the load of all nodes
    And at most <datagrams> datagrams were sent

    Examples: Direct exchange, periods of 0.05 s
      | count | datagrams |
      | 3     | 246       |

    # Two per other node and period, and one more period at the start.
    Examples: Exchange through a collector, periods of 0.224 and 0.4 s
      | count | datagrams |
      | 29    | 560       |
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

  Scenario Outline: Changes that one node has seen reach the others
    Given 12 nodes of one failure domain at revision 5
    And the collector's first <lost> datagrams to each of them are lost
    When the collector sees endpoint e3 at revision 6
    And the collector sees endpoint e4 at revision 7
    And they exchange hints for 2 s
    Then the other nodes know the endpoints "<known>"
    And the other nodes are at revision <revision>

    Examples: A lost datagram is repeated by the next; two are a gap
      | lost | known       | revision |
      | 0    | e1 e2 e3 e4 | 7        |
      | 1    | e1 e2 e3 e4 | 7        |
      | 2    | e1 e2       | 5        |

  Scenario: A change of the configuration is a gap
    Given 12 nodes of one failure domain at revision 5
    When the collector sees a new configuration at revision 6
    And the collector sees endpoint e3 at revision 7
    And they exchange hints for 2 s
    Then the other nodes know the endpoints "e1 e2"
    And the other nodes are at revision 5

  Scenario Outline: A late answer of the store does not undo newer changes
    Given 12 nodes of one failure domain at revision 5
    When the collector sees the removal of endpoint e1 at revision 8
    And the collector sees <late> of endpoint e1 at revision 7
    Then the collector knows the endpoints "e2"

    Examples:
      | late      |
      | a change  |
      | a listing |

  Scenario Outline: The age of a view is never understated
    Given 12 nodes of one failure domain at revision 5
    And the collector's view was current <age> s ago
    And datagrams take <delay> s
    When they exchange hints for 3 s
    Then the other nodes' views are at least <least> and at most <most> s old

    Examples: The collector confirms nothing
      | age | delay | least | most |
      | 0   | 0     | 3.0   | 3.1  |
      | 1   | 0     | 4.0   | 4.1  |
      | 0   | 0.5   | 3.0   | 3.1  |

  Scenario Outline: The collector's confirmations keep the other views current
    Given 12 nodes of one failure domain at revision 5
    And datagrams take <delay> s
    And the collector confirms its view every 0.4 s
    When they exchange hints for 3 s
    Then the other nodes' views are at least <least> and at most <most> s old

    Examples: A datagram to the collector and one back, 0.1 s between two
      | delay | least | most |
      | 0     | 0.0   | 0.7  |
      | 0.5   | 1.0   | 1.7  |

  Scenario Outline: A node that feeds others confirms its view often
    Given a store without changes
    When a node that feeds <others> others follows it for 20 s
    Then its view is never older than <age> s
    And it made at most <calls> calls

    # A call takes 0.004 s.
    Examples:
      | others | age  | calls |
      | 0      | 1.7  | 15    |
      | 24     | 0.45 | 53    |

  Scenario Outline: The shutdown of an endpoint is known to all nodes
    When node n1 hears that start <heard> of e1 leaves
    And the nodes exchange hints for <seconds> s
    Then the nodes for which e1 drains are "<nodes>"

    Examples: Nodes of the failure domain know it at once, the others soon
      | heard | seconds | nodes    |
      | 0     | 0       | n1 n2    |
      | 0     | 0.5     | n1 n2 n3 |
      | 1     | 0.5     |          |

  Scenario: The report of a shutdown is repeated
    Given the first 2 datagrams from n1 to n2 are lost
    When node n1 hears that start 0 of e1 leaves
    And the nodes exchange hints for 0.5 s
    Then the nodes for which e1 drains are "n1 n2 n3"

  Scenario: The report of a shutdown is not repeated forever
    When node n1 hears that start 0 of e1 leaves
    And they exchange hints for 30 s
    Then at most 620 datagrams were sent

  Scenario: No hint makes a node use an endpoint again
    When node n1 hears that start 0 of e1 leaves
    And node n1 receives the datagram {"sender": "n2", "hints": [{"node": "n2", "leaving": [], "worked_ago_s": {"e1": 0}, "in_flight": {"e1": 1}}]}
    And node n2 receives the datagram {"sender": "n9", "hints": [{"node": "n9", "leaving": [{"endpoint_id": "e1", "started_at_ms": 1}]}]}
    Then the nodes for which e1 drains are "n1 n2"

  Scenario: The shutdown of an endpoint that is not registered yet is kept
    When node n2 receives the datagram {"sender": "n9", "hints": [{"node": "n9", "leaving": [{"endpoint_id": "e3", "started_at_ms": 0}]}]}
    And endpoint e3 registers
    Then the nodes for which e3 drains are "n2"

  Scenario Outline: The shutdown is known to the nodes of all failure domains
    Given 12 nodes in each of 3 failure domains, each with a request in flight
    And the first <dead> nodes of each failure domain are dead
    When node z1-<node> hears that start 0 of e1 leaves
    And they exchange hints for <seconds> s
    Then e1 drains for all nodes

    Examples:
      | dead | node | seconds |
      | 0    | 000  | 0.6     |
      | 0    | 007  | 0.8     |
      | 1    | 007  | 4.0     |

  Scenario Outline: Reports of crashes reach the nodes of all failure domains
    Given the first <lost> datagrams from n1 to n2 are lost
    And the first <lost> datagrams from n1 to n3 are lost
    When <count> endpoints end under a request at node n1
    And the nodes exchange hints for <seconds> s
    Then the nodes that turn the request away are "<nodes>"

    Examples: Without losses
      | count | lost | seconds | nodes    |
      | 2     | 0    | 0.2     | n1 n2 n3 |
      | 1     | 0    | 0.3     |          |

    Examples: Repeated after a loss
      | count | lost | seconds | nodes    |
      | 2     | 3    | 1.5     | n1 n2 n3 |
      | 2     | 104  | 10      | n1 n2 n3 |

  Scenario Outline: A node that starts late learns of earlier crashes
    Given node <late> starts <at> s late
    When 2 endpoints end under a request at node n1
    And the nodes exchange hints for <seconds> s
    Then the nodes that turn the request away are "<nodes>"

    Examples: By its first question, and by what is repeated
      | late | at | seconds | nodes    |
      | n2   | 8  | 8.2     | n1 n2 n3 |
      | n3   | 8  | 8.5     | n1 n2 n3 |

  Scenario Outline: Parts that end endpoints are known to all nodes
    Given node <late> starts <at> s late
    When 3 endpoints end one after the other under a part at node n1
    And the nodes exchange hints for <seconds> s
    Then the nodes that turn the part away are "n1 n2 n3"

    Examples:
      | late | at | seconds |
      | n2   | 0  | 0.3     |
      | n2   | 8  | 8.2     |
      | n3   | 8  | 8.5     |

  Scenario Outline: A request that has completed is cleared everywhere
    When <count> endpoints end under a request at node n1
    And the nodes exchange hints for 0.3 s
    And the request completes at node n3
    And the nodes exchange hints for 0.5 s
    Then the nodes that suspect the request are ""

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario Outline: Reports reach all nodes through collectors
    Given 12 nodes in each of 3 failure domains, each with a request in flight
    And the first <dead> nodes of each failure domain are dead
    When 2 endpoints end under a request at node z1-007
    And the nodes exchange hints for <seconds> s
    Then all nodes turn the request away

    Examples:
      | dead | seconds |
      | 0    | 1.0     |
      | 1    | 4.0     |

  Scenario: Reports on many requests at once reach all nodes
    When 300 requests are in flight at an endpoint that ends at node n1
    And 2 endpoints end under a request at node n1
    And the nodes exchange hints for 2 s
    Then the nodes that turn the request away are "n1 n2 n3"
    And no datagram has more than 8192 bytes
