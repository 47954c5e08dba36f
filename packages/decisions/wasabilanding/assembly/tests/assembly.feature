Feature: Assembly of replicas from registered endpoints

  Scenario Outline: Every engine serves soon after the first start
    Given two fabric domains of ten engines and seed <seed>
    When 8 s pass without faults
    Then no invariant is violated
    And at most 0 engines serve in no replica
    And the models have <large> and <small> engines

    Examples:
      | seed | large | small |
      | 1    | 8     | 12    |
      | 2    | 8     | 12    |

  Scenario Outline: Invariants hold under crashes, delayed orders and new planners
    Given two fabric domains of ten engines and seed <seed>
    When 60 s pass with a fault rate of <trouble> per second
    Then no invariant is violated

    Examples:
      | seed | trouble |
      | 1    | 0.1     |
      | 2    | 0.1     |
      | 3    | 0.2     |
      | 4    | 0.2     |
      | 5    | 0.4     |
      | 6    | 0.4     |
      | 7    | 0.4     |
      | 8    | 0.8     |
      | 9    | 0.8     |
      | 10   | 0.8     |

  Scenario Outline: Engines serve again after the faults end
    Given two fabric domains of ten engines and seed <seed>
    When 30 s pass with a fault rate of 0.3 per second
    And 40 s pass without faults
    Then no invariant is violated
    And at most 1 engines serve in no replica

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario Outline: A model that loses its replicas preempts those of the other
    Given two fabric domains of ten engines and seed <seed>
    When 8 s pass without faults
    And <lost> replicas of the large model lose a member permanently
    And 40 s pass without faults
    Then no invariant is violated
    And the large model has at least <left> engines

    Examples:
      | seed | lost | left |
      | 1    | 1    | 8    |
      | 1    | 2    | 8    |
      | 1    | 3    | 4    |

  # Survivors that are one or two short formed small replicas, of which four
  # were then too many to preempt, so that the large model lost all replicas.
  Scenario Outline: Survivors of a large replica get what they lack from a small
    Given two fabric domains of 37 engines, replicas of 16 and 4, and seed <seed>
    When 16 s pass without faults
    And one replica of the large model loses <lost> members permanently
    And <seconds> s pass without faults
    Then no invariant is violated
    And the large model has at least <left> engines

    # A registration lapses after 3.6 s, a small replica closes in 1.5 s.
    Examples:
      | seed | lost | seconds | left |
      | 1    | 1    | 8       | 32   |
      | 1    | 2    | 8       | 32   |
      | 2    | 2    | 8       | 32   |
      | 3    | 4    | 8       | 32   |

  Scenario: A delayed join that reaches a restarted member dissolves no replica
    Given two fabric domains of ten engines and seed 67
    When 60 s pass with a fault rate of 0.8 per second
    Then no invariant is violated

  Scenario Outline: Survivors and a spare form a lost replica without a load
    Given two fabric domains of <size> engines and seed <seed>
    When 10 s pass without faults
    And one replica of the <model> model loses a member permanently
    And 2.7 s pass without faults
    Then no invariant is violated
    And the models have <large> and <small> engines

    # A load alone takes 3 s.
    Examples:
      | seed | size | model | large | small |
      | 1    | 11   | large | 8     | 12    |
      | 2    | 11   | large | 8     | 12    |
      | 3    | 11   | large | 8     | 12    |

  Scenario Outline: An engine that announced its shutdown is replaced before it is gone
    Given two fabric domains of 11 engines and seed <seed>
    When 10 s pass without faults
    And the engine of rank <rank> in a replica of the large model announces its shutdown
    And 6 s pass without faults
    Then no invariant is violated
    And that engine is alive and belongs to no replica
    And the models have 8 and 12 engines

    Examples:
      | seed | rank |
      | 1    | 0    |
      | 1    | 1    |
      | 2    | 0    |
      | 2    | 3    |

  Scenario Outline: An engine that wants no requests joins a replica only afterwards
    Given two fabric domains of 11 engines and seed <seed>
    When 10 s pass without faults
    And the engines without a replica want no requests
    And one replica of the large model loses a member permanently
    And 6 s pass without faults
    Then no invariant is violated
    And 0 of the spares belong to a replica
    When they want requests again
    And 6 s pass without faults
    Then no invariant is violated
    And 1 of the spares belong to a replica

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: The spares of a fabric domain cover its models
    Given replicas with <large> VMs of the large and <small> of the small model
    When spares that hold "<held>" are planned
    Then they load "<loads>"

    Examples: The model with more VMs in the fabric domain comes first
      | large | small | held         | loads       |
      | 6     | 3     | none         | large       |
      | 6     | 3     | none none    | large small |
      | 6     | 3     | small none   | large       |
      | 6     | 3     | small small  | large       |
      | 6     | 3     | small        | large       |
      | 6     | 3     | large small  |             |
      | 3     | 6     | none         | small       |

    Examples: A model without a replica in the fabric domain needs no spare
      | large | small | held      | loads       |
      | 6     | 0     | none none | large large |

    Examples: Without any replica, spares prepare the smallest model
      | large | small | held       | loads |
      | 0     | 0     | none       | small |
      | 0     | 0     | large none | small |

  # A member that answered no probe within 0.6 s counted as lost, and the orders
  # to the others cut all requests of the replica.
  Scenario Outline: A replica that pauses is dissolved only after callers have gone
    Given two fabric domains of ten engines and seed 1
    When 10 s pass without faults
    And the member of rank <rank> of each <model> replica pauses for <pause> s
    And 10 s pass without faults
    Then no invariant is violated
    And some requests are cut by orders: <cut>

    Examples:
      | model | rank | pause | cut |
      | large | 0    | 1.0   | no  |
      | large | 1    | 1.0   | no  |
      | small | 1    | 1.0   | no  |
      | large | 0    | 2.2   | no  |
      | large | 1    | 2.2   | no  |
      | small | 0    | 2.2   | no  |
      | large | 0    | 3.5   | yes |
      | large | 1    | 3.5   | yes |

  Scenario Outline: Epochs exceed all that any endpoint or order has had
    Given a planner at revision <number> of era <era>
    And epochs of members "<members>", of removed ones "<removed>", of orders "<orders>"
    When it forms a replica
    Then its epoch is <epoch>

    Examples: Revisions go back in a later era of the store
      | era | number | members   | removed   | orders    | epoch     |
      | 0   | 34     | 0         | 0         | 0         | 35        |
      | 1   | 34     | 0         | 0         | 0         | 100000035 |
      | 2   | 12     | 100000035 | 0         | 0         | 200000013 |
      | 2   | 12     | 0         | 200000040 | 0         | 200000041 |
      | 2   | 12     | 0         | 0         | 200000050 | 200000051 |
      | 2   | 12     | 300000000 | 0         | 0         | 300000001 |

    Examples: An epoch that no planner gives is not followed
      | era | number | members          | removed          | orders | epoch     |
      | 2   | 12     | 9007199254740992 | 0                | 0      | 200000013 |
      | 2   | 12     | 200000050        | 9007199254740992 | 0      | 200000051 |

  Scenario Outline: What a planner knows of an endpoint ends with its start
    Given a planner at revision 34 of era 0
    And four free endpoints of which one <was>
    When that one <change>
    Then the planner <orders>

    Examples: A dead endpoint joins no replica; the same load is ordered once
      | was                 | change       | orders                      |
      | failed a probe      | goes on      | orders nothing              |
      | failed a probe      | starts again | orders a join               |
      | was ordered to load | goes on      | orders nothing              |
      | was ordered to load | starts again | orders a load               |
      | was ordered to join | goes on      | repeats a join              |
      | was ordered to join | starts again | orders a join               |
