Feature: Exchange between nodes

  Scenario Outline: What can't be used of an answer does not hide the rest
    Given nodes "a" and "b" of one failure domain
    And node "b" holds configuration revision 7 and a report of VM "vm-1"
    When node "a" reads an answer of "b" with <fault>
    Then node "a" holds configuration revision <revision>
    And node "a" has a report of VM "vm-1"
    And the answer had <refused> refused documents and <unusable> unusable entries

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

  Scenario: A refused document is not asked for again
    Given nodes "a" and "b" of one failure domain
    And node "b" holds configuration revision 7 and a report of VM "vm-1"
    When node "a" reads an answer of "b" with a configuration that does not fit
    And node "a" asks "b" once more
    Then the last answer has 0 documents

  Scenario Outline: Only what is new since the last exchange is told
    Given nodes "a" and "b" of one failure domain
    And node "b" holds reports of 20 VMs
    When node "a" asks "b", then "b" learns <changed> reports from "<source>"
    And node "a" asks "b" once more
    Then the last answer has <told> reports

    Examples:
      | changed | source | told |
      | 0       | own    | 0    |
      | 3       | own    | 3    |
      | 3       | c      | 3    |
      | 3       | a      | 0    |

  Scenario: A peer that was started anew is told everything again
    Given nodes "a" and "b" of one failure domain
    And node "b" holds reports of 20 VMs
    When node "a" asks "b"
    And node "b" starts anew with the same reports
    And node "a" asks "b" once more
    Then the last answer has 20 reports

  Scenario Outline: Between failure domains go whole replicas only
    Given nodes "a" of "<domain>" and "b" of "prov"
    And the records of "prov" and "maipu" each have a whole replica of <service>
    And node "b" holds a report of a free VM of "prov"
    When node "a" asks "b"
    Then the last answer has <reports> reports and <wholes> whole replicas

    Examples:
      | domain | service   | reports | wholes |
      | prov   | one kind  | 1       | 1      |
      | prov   | two kinds | 1       | 2      |
      | nunoa  | one kind  | 0       | 1      |
      | nunoa  | two kinds | 0       | 1      |

  Scenario Outline: A dead member does not hide the reports of the others
    Given nodes "a" and "b" of one failure domain
    And the records of "prov" and "maipu" each have a whole replica of one kind
    And node "b" last heard of one member of "prov" <age> s before the others
    When node "a" asks "b"
    Then the last answer has <reports> reports and <wholes> whole replicas

    Examples:
      | age | reports | wholes |
      | 1   | 0       | 1      |
      | 4   | 1       | 1      |

  Scenario Outline: A whole replica stands for the reports of its members
    Given nodes "a" of "nunoa" and "b" of "prov"
    And the records of "prov" and "maipu" each have a whole replica of one kind
    And node "a" holds the record of "prov" at an epoch that is <epoch>
    When node "a" asks "b"
    Then node "a" has <count> reports of the members, as old as at "b"

    Examples:
      | epoch     | count |
      | the same  | 2     |
      | different | 0     |

  Scenario Outline: A slow network never makes an observation look younger
    Given nodes "a" and "b" of one failure domain
    And node "b" observed VM "vm-1" 1 s ago
    When node "a" asks "b" and the way takes <there> s there and <back> s back
    Then node "a" takes the observation as at least <age> s old

    Examples:
      | there | back | age |
      | 0     | 0    | 1   |
      | 0.9   | 0    | 1.9 |
      | 0     | 0.9  | 1.9 |
      | 0.5   | 0.5  | 2   |

  Scenario Outline: Requests that take long do not keep a dead node alive
    Given 3 nodes that ask each other every 0.1 s by requests of <there> s
    And a node that was heard by them and died
    When 10 s pass among them
    Then the dead node is not live anywhere

    Examples:
      | there |
      | 0.001 |
      | 0.1   |
      | 0.5   |
      | 1.0   |

  Scenario Outline: A fault of one call does not end the exchange
    Given a peer that answers on loopback
    When a call meets <fault>
    Then that call ends as unreachable
    And the next call is answered

    Examples:
      | fault                 |
      | an error in the peer  |
      | an answer of no sense |
      | a closed port         |
