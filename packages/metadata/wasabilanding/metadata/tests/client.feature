Feature: Calls to the platform's service

  Scenario Outline: Each response is mapped to a result type
    When "<operation>" is answered with status <status> and body <body>
    Then the result is <result>

    Examples:
      | operation   | status | body                            | result       |
      | get         | 200    | {"value": "x", "revision": 3}   | Entry        |
      | get         | 200    | {"value": "x"}                  | Unavailable  |
      | get         | 200    | <html>proxy</html>              | Unavailable  |
      | get         | 200    | []                              | Unavailable  |
      | get         | 404    | {}                              | Missing      |
      | get         | 429    | {}                              | Unavailable  |
      | get         | 503    | {}                              | Unavailable  |
      | watch       | 200    | null                            | Unavailable  |
      | watch       | 404    | {}                              | Missing      |
      | put         | 200    | {"revision": 4}                 | Written      |
      | put         | 200    | <html>proxy</html>              | Unknown      |
      | put         | 409    | {"revision": 4}                 | Conflict     |
      | put         | 409    | <html>proxy</html>              | Conflict     |
      | put         | 429    | {}                              | Unavailable  |
      | put         | 503    | {}                              | Unavailable  |
      | put         | 500    | {}                              | Unknown      |
      | put         | 504    | {}                              | Unknown      |
      | grant_lease | 200    | {"lease_id": "l"}               | LeaseGranted |
      | grant_lease | 200    | {}                              | Unavailable  |
      | renew_lease | 200    | {"ttl_s": 3.0}                  | LeaseGranted |
      | renew_lease | 200    | {}                              | Unavailable  |
      | renew_lease | 404    | {}                              | Missing      |
      | list_vms    | 200    | []                              | VmList       |
      | list_vms    | 200    | [{"vm": "x"}]                   | Unavailable  |

  Scenario Outline: A malformed value is reported with its revision
    When the store holds <value> for the <document>
    Then reading the <document> returns Unavailable and names revision 5

    Examples:
      | document      | value                                |
      | configuration | {"profiles": 7}                      |
      | configuration | not JSON                             |
      | record        | {"failure_domain": "prov", "fence":} |

  Scenario Outline: The result of a change is correct even if responses are lost
    When an operator's change encounters <faults>
    Then the change ends as <result>
    And it took effect <times> times

    Examples:
      | faults                                     | result        | times |
      | nothing                                    | Configuration | 1     |
      | a lost answer                              | Configuration | 1     |
      | a lost race                                | Configuration | 1     |
      | a lost write                               | Configuration | 1     |
      | a lost answer, an outage                   | Unknown       | 1     |
      | an outage                                  | Unavailable   | 0     |
      | a late write, an overload                  | Unknown       | 1     |
      | a late write, another operator, an overload | Unavailable   | 0     |

  Scenario Outline: The load on a service that is down is bounded
    Given <nodes> nodes with <loops> loops that call every 0.1 s
    When the service is down for <outage> s and then returns
    Then each node sent at most <sent> calls during the outage
    And every node was answered within <back> s of the return
    And at most <burst> nodes got their first answer in the same tenth of a second

    Examples:
      | nodes | loops | outage | sent | back | burst |
      | 1     | 10    | 60     | 30   | 4    | 1     |
      | 90    | 3     | 60     | 30   | 4    | 12    |

  # Guards against one odd entry that hides all other VMs, or ends the node when
  # it connects to the address.
  Scenario Outline: An odd entry of the list of VMs costs no other
    When the list of VMs has a "<word>" entry between two valid ones
    Then the valid VMs are read

    Examples:
      | word            |
      | no object       |
      | no address      |
      | deep            |
      | deep address    |
      | many digits     |
      | infinite        |
      | not a number    |
      | half surrogate  |
      | no UTF-8        |
      | port 65536      |
      | port huge       |
      | port no number  |
      | no scheme       |
      | space           |
      | line break      |
      | IPv6 cut        |

  Scenario: A list of odd entries only is not believed
    When "list_vms" is answered with status 200 and body [{"vm": "x"}, 5]
    Then the result is Unavailable
