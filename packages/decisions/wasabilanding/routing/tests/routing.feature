Feature: Routing by expected time to the first token

  Scenario Outline: Only replicas that all their VMs confirm are returned
    Given 4 local replicas, and replica 0 whose second VM <flaw>
    When each policy chooses 200 times
    Then replica 0 is never chosen and all others are

    Examples:
      | flaw                     |
      | reports another epoch    |
      | reports nothing          |
      | reports too long ago     |
      | is leaving               |
      | is loading               |

  Scenario: A replica that fails between two scans is not returned
    Given 4 local replicas, all usable
    When replica 0 fails after a scan of the index
    And each policy chooses 200 times
    Then replica 0 is never chosen and all others are

  Scenario: A new record takes effect immediately
    Given 4 local replicas, all usable
    When a record without replica 0 follows after a scan of the index
    And each policy chooses 200 times
    Then replica 0 is never chosen and all others are

  Scenario Outline: Distance is weighed against load
    Given 1 local replica with <local> requests and 1 remote with <remote>
    When policy "cost" chooses 50 times
    Then the <where> replica is chosen each time

    Examples:
      | local | remote | where  |
      | 0     | 0      | local  |
      | 2     | 0      | local  |
      | 12    | 2      | remote |
      | 20    | 16     | remote |

  Scenario Outline: A cached prefix is weighed against load
    Given 4 local replicas, all usable
    And replica 2 has the first <blocks> blocks of a prompt of 40 and <load> requests
    When policy "cost" chooses for the prompt 50 times
    Then replica 2 is chosen <how>

    Examples:
      | blocks | load | how       |
      | 40     | 0    | each time |
      | 40     | 10   | each time |
      | 40     | 24   | never     |
      | 0      | 10   | never     |

  Scenario Outline: A slow replica is avoided and tried again later
    Given 4 local replicas, all usable
    And replica 1 takes <factor> times as long between parts and 3 requests
    When policy "cost" chooses 200 times after <seconds> s
    Then replica 1 gets between <least> and <most> of the choices

    Examples:
      | factor | seconds | least | most |
      | 8      | 0       | 0     | 0    |
      | 8      | 5       | 0     | 0    |
      | 8      | 150     | 100   | 200  |
      | 1      | 0       | 100   | 200  |

  Scenario Outline: The weight of a report in the estimate decreases with its age
    Given a report of 20 requests where the mean is 8
    When the report is <age> s old
    Then the estimate is between <least> and <most>

    Examples:
      | age | least | most |
      | 0   | 20    | 20   |
      | 0.3 | 12    | 13   |
      | 3   | 8     | 8.1  |

  Scenario Outline: Lost cache events have little effect on the match
    Given a replica that stored <blocks> blocks of a prompt
    When every event but each <kept>-th is lost
    Then between <least> and <most> leading blocks are assumed to be cached

    Examples:
      | blocks | kept | least | most |
      | 60     | 1    | 60    | 60   |
      | 60     | 5    | 56    | 60   |
      | 60     | 60   | 1     | 60   |

  Scenario: The view of caches is bounded
    Given a view of 100 entries
    When 1000 blocks are stored at 3 replicas
    Then it holds at most 100 entries and the latest block at all 3

  @fuzz
  Scenario: Routing keeps its invariants in any order of events
    When routing events occur in any order
    Then no invariant of routing is violated
