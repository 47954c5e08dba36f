Feature: Assignment of idle VMs

  Scenario Outline: A profile's weights decide between spares and extra replicas
    Given fabric domains of <sizes> VMs
    And a profile with downtime weight <downtime> and stranding weight <stranding>
    When these events happen: wait 20
    Then the record holds <record>

    Examples: 1 wanted replica of 2 VMs
      | sizes | downtime | stranding | record                |
      | 5     | 1        | 1         | a0+a1(a2)             |
      | 5     | 4        | 1         | a0+a1(a2)             |
      | 5     | 1        | 4         | a0+a1(a4) a2+a3       |
      | 4,3   | 1        | 4         | a0+a1 a2+a3 b0+b1(b2) |

  Scenario: An extra replica drains to make room for a wanted one
    Given fabric domains of 6 VMs
    And a profile with downtime weight 1 and stranding weight 4
    When these events happen: wait 20, run a2, other 3, wait 9
    Then the record holds a0+a1(a4) a2+a3!
    And 0 running requests were aborted

  Scenario: A wanted replica replaces extra replicas
    Given fabric domains of 6 VMs
    And a profile with downtime weight 1 and stranding weight 4
    When these events happen: wait 20, other 3, wait 30
    Then the record holds a0+a1(a4) a2+a3+a5

  Scenario: A single spare goes to the service with the higher downtime weight
    Given fabric domains of 5 VMs
    When a low-weight and a high-weight service want 1 replica of 2 VMs each
    Then the high-weight service has the spare
