Feature: Planning of a failure domain's next record

  Scenario Outline: Repair of replicas
    Given fabric domains of <sizes> VMs
    And <count> wanted replicas of <vms> VMs
    When these events happen: <events>
    Then the record holds <record>
    And <serving> replicas serve

    Examples: VMs die, pause and return; a fabric domain is lost
      | sizes | count | vms | events                                   | record            | serving |
      | 3     | 1     | 2   | wait 1                                   | a0+a1(a2)         | 1       |
      | 3     | 1     | 2   | kill a1, wait 4                          | a0+a2             | 1       |
      | 3     | 1     | 2   | kill a1, wait 4, restart a1, wait 9      | a0+a2(a1)         | 1       |
      | 2     | 1     | 2   | pause a1, wait 9, resume a1, wait 1      | a0+a1             | 1       |
      | 2     | 1     | 2   | kill a1, wait 9                          | a0+a1             | 0       |
      | 2     | 1     | 2   | kill a1, wait 9, restart a1, wait 9      | a0+a1             | 1       |
      | 2,2   | 1     | 2   | kill a1, wait 9                          | b0+b1             | 1       |
      | 2,2   | 1     | 2   | dark a, wait 9                           | b0+b1             | 1       |
      | 4     | 2     | 2   | kill a1, kill a3, wait 9                 | a0+a2             | 1       |
      | 3,2   | 2     | 2   | kill a1, kill b1, wait 9                 | a0+a2 b0+b1       | 1       |
      | 3,3   | 2     | 2   | kill a1, kill b1, wait 5                 | a0+a2 b0+b2       | 2       |
      | 4,4   | 2     | 2   | wait 1                                   | a0+a1(a2) b0+b1(b2) | 2     |
      | 6     | 2     | 2   | kill a1, kill a3, kill a4, wait 9        | a0+a5 a2+a3       | 1       |

  Scenario Outline: A VM that restarts without state makes its replica regroup
    Given fabric domains of <sizes> VMs
    And 1 wanted replicas of 2 VMs
    And the highest epoch of the replicas is noted
    When these events happen: <events>
    Then every replica has an epoch above the noted one
    And 1 replicas serve

    Examples:
      | sizes | events                         |
      | 2     | restart a1, wait 9             |
      | 2     | kill a0, wait 1, restart a0, wait 9 |
      | 2     | stray a0, wait 9               |
      | 3     | down, pause a1, wait 3, kill a2, resume a1, wait 3, up, wait 9 |

  Scenario Outline: Planned changes drain replicas and abort no request
    Given fabric domains of <sizes> VMs
    And 1 wanted replicas of 2 VMs
    When these events happen: <events>
    Then the record holds <record>
    And 0 running requests were aborted

    Examples: a VM leaves, the version changes
      | sizes | events                                               | record       |
      | 4     | run a0, leave a1, wait 9                             | a0+a1! a2+a3 |
      | 4     | run a0, leave a1, wait 9, finish a0, wait 9          | a2+a3(a0)    |
      | 3     | run a0, leave a1, wait 60                            | a0+a1!       |
      | 3     | run a0, leave a1, wait 9, finish a0, wait 9          | a0+a2        |
      | 2     | run a0, change version=v2, wait 60                   | a0+a1!       |
      | 2     | run a0, change version=v2, wait 9, finish a0, wait 9 | a0+a1        |

  Scenario Outline: A node with an older record still sends to a draining replica
    Given fabric domains of 4 VMs
    And 1 wanted replicas of 2 VMs
    When these events happen: <events>
    Then the record holds <record>
    And 0 running requests were aborted

    Examples: the engine confirms the order to drain, or does not support it
      | events                                       | record     |
      | late 10, change version=v2, wait 12          | a2+a3(a0)  |
      | lag 3, run a0, change version=v2, wait 2, finish a0, wait 12 | a2+a3(a0) |
      | lag 3, change version=v2, wait 2, run a0, wait 9 | a0+a1! a2+a3 |
      | deaf a0, late 10, change version=v2, wait 30 | a0+a1! a2+a3 |
      | deaf a0, late 10, change version=v2, wait 60 | a2+a3(a0)  |

  Scenario Outline: A recorded spare replaces a member while the store is down
    Given fabric domains of <sizes> VMs
    And 1 wanted replicas of 2 VMs
    When these events happen: <events>
    Then <serving> replicas serve
    And the record holds <record>

    Examples:
      | sizes | events                                              | serving | record    |
      | 3     | down, kill a1, wait 5                               | 1       | a0+a1(a2) |
      | 3     | down, kill a0, wait 5                               | 1       | a0+a1(a2) |
      | 3     | down, kill a1, wait 5, up, wait 1                   | 1       | a0+a2     |
      | 3     | down, kill a1, wait 5, restart a1, wait 9           | 1       | a0+a1(a2) |
      | 3     | down, pause a1, wait 5, resume a1, wait 9, up, wait 5 | 1     | a0+a2(a1) |
      | 3     | down, restart a1, wait 9                            | 1       | a0+a1(a2) |
      | 3     | down, kill a1, wait 5, kill a2, wait 5              | 0       | a0+a1(a2) |
      | 3     | down, stray a0, kill a1, wait 5                     | 0       | a0+a1(a2) |
      | 2     | down, kill a1, wait 5                               | 0       | a0+a1     |

  Scenario Outline: The record is not written while nothing changes
    Given fabric domains of <sizes> VMs
    And <count> wanted replicas of <vms> VMs
    When these events happen: <events>
    Then the record changed at most <writes> times since revision 1

    Examples:
      | sizes | count | vms | events          | writes |
      | 3,4   | 2     | 2   | wait 60         | 0      |
      | 3,4   | 2     | 5   | wait 60         | 0      |
      | 2     | 1     | 2   | kill a1, wait 60 | 0     |

  Scenario: A draining replica that lost a member is removed
    Given fabric domains of 2 VMs
    And 1 wanted replicas of 2 VMs
    When these events happen: run a0, change version=v2, wait 3, kill a1, wait 4
    Then the record holds none

  Scenario: A recovering replica is not drained
    Given fabric domains of 4 VMs
    And 1 wanted replicas of 2 VMs
    And a minimum of 1 replicas
    When these events happen: pause a0, wait 2, change version=v2, wait 0.5
    Then the record holds a2+a1(a3)

  Scenario Outline: Flapping VMs do not make replicas flap
    Given fabric domains of <sizes> VMs
    And 1 wanted replicas of 2 VMs
    When these events happen: <events>
    Then the record changed at most <writes> times since revision 1

    Examples:
      | sizes | events                                                 | writes |
      | 3     | flap a1, flap a1, flap a1, flap a1, flap a1, flap a1   | 5      |
      | 2     | flap a1, flap a1, flap a1, flap a1, flap a1, flap a1   | 3      |

  Scenario: A controller that was paused takes no VM for lost
    Given fabric domains of 3,3 VMs
    And 2 wanted replicas of 2 VMs
    When the controller is paused for 2.4 seconds and a1 reports late
    Then the record holds a0+a1(a2) b0+b1(b2)
    And the record changed at most 0 times since revision 1

  Scenario: The service with the higher downtime weight loads first
    Given fabric domains of 9 VMs
    When a low-weight service wants 2 replicas and a high-weight one 2, of 2 VMs
    Then at most 3 VMs load at a time, with a limit of 3
    And the high-weight service serves first
