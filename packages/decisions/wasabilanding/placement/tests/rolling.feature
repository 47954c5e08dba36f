Feature: Rolling update of a profile

  Scenario Outline: Replicas are updated one at a time, never below the minimum
    Given fabric domains of <sizes> VMs
    And <count> wanted replicas of 2 VMs
    And a minimum of <minimum> replicas
    When <seconds> seconds pass after a change to <change>
    Then the record holds <record>
    And all replicas have <field> <value>
    And never fewer than <served> replicas served
    And 0 running requests were aborted

    Examples:
      | sizes | count | minimum | served | seconds | change                | record            | field       | value     |
      | 4     | 1     | 1       | 1      | 30      | version=v2            | a2+a3(a0)         | version     | v2        |
      | 4     | 2     | 1       | 1      | 60      | version=v2            | a0+a1 a2+a3       | version     | v2        |
      | 4     | 2     | 2       | 2      | 60      | version=v2            | a0+a1 a2+a3       | version     | v1        |
      | 6     | 3     | 0       | 2      | 90      | version=v2            | a0+a1 a2+a3 a4+a5 | version     | v2        |
      | 6,2   | 3     | 2       | 3      | 90      | version=v2            | a0+a1 a2+a3 a4+a5 | version     | v2        |
      | 4     | 2     | 1       | 1      | 60      | adapters=unas         | a0+a1 a2+a3       | adapters    | ('unas',) |
      | 4     | 1     | 1       | 1      | 30      | vms_per_replica=3     | a0+a1(a2)         | version     | v1        |
      | 4     | 1     | 0       | 0      | 30      | vms_per_replica=3     | a0+a1+a2(a3)      | version     | v1        |
      | 4     | 1     | 0       | 1      | 30      | vms_per_replica=5     | a0+a1(a2)         | version     | v1        |
      | 4     | 1     | 1       | 1      | 30      | max_running=7         | a0+a1(a2)         | max_running | 7         |
      | 4     | 2     | 1       | 1      | 30      | replicas_per_domain=1 | a0+a1(a2)         | version     | v1        |

  Scenario Outline: A bad version stops the update and is rolled back once
    Given fabric domains of <sizes> VMs
    And <count> wanted replicas of 2 VMs
    When these events happen: bad v2, change version=v2, wait 90
    Then version v1 is wanted at revision 3
    And all replicas run version v1
    And <count> replicas serve

    Examples:
      | sizes | count |
      | 4     | 1     |
      | 4     | 2     |
      | 2     | 1     |

  Scenario: A bad first version is not rolled back
    Given fabric domains of 4 VMs
    When these events happen: bad v1
    And 1 replicas of 2 VMs are wanted for 60 seconds
    Then version v1 is wanted at revision 1
    And 0 replicas serve

  Scenario: A single VM that fails to load is replaced, and the version stays
    Given fabric domains of 5 VMs
    And 1 wanted replicas of 2 VMs
    When these events happen: broken a3, change version=v2, wait 60
    Then version v2 is wanted at revision 2
    And all replicas run version v2
    And 1 replicas serve
