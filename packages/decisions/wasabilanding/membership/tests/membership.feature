Feature: Membership by heartbeat counters

  Scenario Outline: A dead node expires although peers repeat old updates about it
    Given <nodes> nodes that exchange their tables every <interval> s
    When one of them dies and <wait> s pass
    Then it is <live> and <table> everywhere

    Examples:
      | nodes | interval | wait | live     | table     |
      | 3     | 0.4      | 2    | live     | known     |
      | 3     | 0.4      | 6    | not live | known     |
      | 3     | 0.4      | 40   | not live | forgotten |
      | 8     | 0.4      | 40   | not live | forgotten |

  Scenario Outline: Updates about a node are ordered by incarnation and heartbeat
    Given node "a" known at incarnation <inc> heartbeat <beat> leaving <leaving>
    When an update arrives at incarnation <inc2> heartbeat <beat2> leaving <leaving2>
    Then node "a" is at incarnation <inc3> heartbeat <beat3> leaving <leaving3>

    Examples:
      | inc | beat | leaving | inc2 | beat2 | leaving2 | inc3 | beat3 | leaving3 |
      | 1   | 5    | no      | 1    | 6     | no       | 1    | 6     | no       |
      | 1   | 5    | no      | 1    | 4     | no       | 1    | 5     | no       |
      | 1   | 5    | no      | 2    | 0     | no       | 2    | 0     | no       |
      | 2   | 0    | no      | 1    | 9     | yes      | 2    | 0     | no       |
      | 1   | 5    | yes     | 1    | 6     | no       | 1    | 6     | yes      |
      | 1   | 5    | no      | 1    | 4     | yes      | 1    | 5     | yes      |
      | 1   | 5    | yes     | 2    | 0     | no       | 2    | 0     | no       |

  Scenario: A late update does not restore an expired node
    Given node "a" was known and has expired
    When its last update arrives again
    Then node "a" is not known

  Scenario: A node whose clock was set back outranks its previous incarnation
    Given a node at incarnation 5
    When it receives its own name at incarnation 9
    Then it continues at incarnation 10

  Scenario Outline: The load of a node does not grow with the number of nodes
    Given a node among <local> live peers in its failure domain and <remote> in <domains> others
    When it chooses the peers of 200 rounds
    Then a round has at most <most> peers
    And each local peer is called at least once in <turn> rounds

    Examples:
      | local | remote | domains | most | turn |
      | 2     | 6      | 2       | 4    | 1    |
      | 14    | 30     | 2       | 4    | 14   |
      | 92    | 112    | 14      | 4    | 92   |

  Scenario Outline: Addresses that are not known as live are tried at random intervals
    Given a node with seed "seed:1" and <peers> live peers
    When it chooses the peers of 200 rounds
    Then "seed:1" is called in <least> to <most> rounds

    Examples:
      | peers | least | most |
      | 0     | 200   | 200  |
      | 2     | 5     | 50   |

  Scenario Outline: A started node gets the current state from the store or its peers
    Given a started node that knows <live> live peers
    When <informed> informed and <fresh> uninformed peers answer; store answered: <store>
    Then the node is <verdict>

    Examples:
      | live | store | informed | fresh | verdict      |
      | 0    | no    | 0        | 0     | not informed |
      | 2    | yes   | 0        | 0     | informed     |
      | 2    | no    | 1        | 0     | not informed |
      | 2    | no    | 1        | 1     | informed     |
      | 2    | no    | 0        | 2     | not informed |
      | 90   | no    | 8        | 0     | informed     |
      | 90   | no    | 7        | 0     | not informed |
