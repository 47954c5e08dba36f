Feature: Exchange between nodes

  Scenario Outline: An unusable entry in a reply does not block the rest
    Given nodes "a" and "b" of one failure domain
    And node "b" holds configuration revision 7 and a report of VM "vm-1"
    When node "a" applies a reply of "b" with <fault>
    Then node "a" holds configuration revision <revision>
    And node "a" has a report of VM "vm-1"
    And the reply had <refused> refused documents and <unusable> unusable entries

    Examples:
      | fault                                | revision | refused | unusable |
      | nothing else                         | 7        | 0       | 0        |
      | a report in an unknown state         | 7        | 0       | 1        |
      | a member without a port              | 7        | 0       | 1        |
      | a member at port 99999               | 7        | 0       | 1        |
      | a member without a name              | 7        | 0       | 1        |
      | a document of an unknown kind        | 7        | 1       | 0        |
      | a configuration that does not fit    | 0        | 1       | 0        |
      | a configuration under a wrong number | 0        | 1       | 0        |
      | a configuration that is cut short    | 0        | 1       | 0        |
      | a configuration that is not packed   | 0        | 1       | 0        |
      | a configuration that is far too long | 0        | 1       | 0        |

  Scenario: A refused document is not requested again
    Given nodes "a" and "b" of one failure domain
    And node "b" holds configuration revision 7 and a report of VM "vm-1"
    When node "a" applies a reply of "b" with a configuration that does not fit
    And node "a" calls "b" again
    Then the last reply has 0 documents

  Scenario Outline: Only reports that are new since the last exchange are sent
    Given nodes "a" and "b" of one failure domain
    And node "b" holds reports of 20 VMs
    When node "a" calls "b", then "b" receives <changed> reports from "<source>"
    And node "a" calls "b" again
    Then the last reply has <told> reports

    Examples:
      | changed | source | told |
      | 0       | own    | 0    |
      | 3       | own    | 3    |
      | 3       | c      | 3    |
      | 3       | a      | 0    |

  Scenario: A peer sends everything again after its restart
    Given nodes "a" and "b" of one failure domain
    And node "b" holds reports of 20 VMs
    When node "a" calls "b"
    And node "b" restarts with the same reports
    And node "a" calls "b" again
    Then the last reply has 20 reports

  Scenario Outline: Only whole replicas are sent between failure domains
    Given nodes "a" of "<domain>" and "b" of "prov"
    And the records of "prov" and "maipu" each have a whole replica of <service>
    And node "b" holds a report of a free VM of "prov"
    When node "a" calls "b"
    Then the last reply has <reports> reports and <wholes> whole replicas

    Examples:
      | domain | service   | reports | wholes |
      | prov   | one kind  | 1       | 1      |
      | prov   | two kinds | 1       | 2      |
      | nunoa  | one kind  | 0       | 1      |
      | nunoa  | two kinds | 0       | 1      |

  Scenario Outline: A dead member does not block the reports of the others
    Given nodes "a" and "b" of one failure domain
    And the records of "prov" and "maipu" each have a whole replica of one kind
    And the report of one member of "prov" at "b" is <age> s older than the others
    When node "a" calls "b"
    Then the last reply has <reports> reports and <wholes> whole replicas

    Examples:
      | age | reports | wholes |
      | 1   | 0       | 1      |
      | 4   | 1       | 1      |

  Scenario Outline: A whole replica is decoded into reports of its members
    Given nodes "a" of "nunoa" and "b" of "prov"
    And the records of "prov" and "maipu" each have a whole replica of one kind
    And node "a" holds the record of "prov" at an epoch that is <epoch>
    When node "a" calls "b"
    Then node "a" has <count> reports of the members, as old as at "b"

    Examples:
      | epoch     | count |
      | the same  | 2     |
      | different | 0     |

  Scenario Outline: Network delay never makes an observation look newer
    Given nodes "a" and "b" of one failure domain
    And node "b" observed VM "vm-1" 1 s ago
    When node "a" calls "b" with a delay of <there> s and a reply delay of <back> s
    Then node "a" dates the observation at least <age> s ago

    Examples:
      | there | back | age |
      | 0     | 0    | 1   |
      | 0.9   | 0    | 1.9 |
      | 0     | 0.9  | 1.9 |
      | 0.5   | 0.5  | 2   |

  Scenario Outline: Slow requests do not keep a dead node live
    Given 3 nodes that call each other every 0.1 s with a delay of <there> s
    And a node that they all know and that has died
    When they continue for 10 s
    Then the dead node is not live anywhere

    Examples:
      | there |
      | 0.001 |
      | 0.1   |
      | 0.5   |
      | 1.0   |

  Scenario Outline: A failed call does not end the exchange
    Given a peer that listens on the loopback address
    When a call encounters <fault>
    Then that call reports the peer as unreachable
    And the next call succeeds

    Examples:
      | fault                 |
      | an error in the peer  |
      | an answer of no sense |
      | a closed port         |
