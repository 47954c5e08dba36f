Feature: One node plans the replicas of a failure domain

  # One read, three calls for the lease, one watch each 1.2 s.
  Scenario Outline: Many nodes start at once
    Given <nodes> nodes of a failure domain that start at once
    When <seconds> s pass
    Then 1 node plans
    And the other nodes made at most <calls> calls each on their way

    Examples:
      | nodes | seconds | calls |
      | 2     | 5       | 9     |
      | 30    | 5       | 9     |
      | 30    | 20      | 21    |

  Scenario Outline: Another node plans when the first one goes
    Given 30 nodes of a failure domain that start at once
    When 5 s pass
    And the node that plans <ends>
    And <seconds> s pass
    Then 1 node plans
    And it is another node than before

    Examples:
      | ends               | seconds |
      | stops              | 1.6     |
      | gives notice and answers on | 1.6 |
      | dies without a word | 4.6    |

  Scenario Outline: The node that planned goes on soon after the store is back
    Given 9 nodes of a failure domain that start at once
    When 5 s pass
    And the store is away for <away> s and keeps its leases
    And <later> s pass
    Then 1 node plans
    And it is the node that planned before

    Examples:
      | away | later |
      | 2    | 1.2   |
      | 6    | 1.2   |
      | 20   | 1.2   |
