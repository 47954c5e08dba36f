Feature: Platform outages and partitioned failure domains

  Scenario Outline: A node replaced during an outage gets its state from peers
    Given a serving system of 3 failure domains with <nodes> nodes each
    When the platform goes down and <replaced> nodes of "prov" are replaced
    Then the replaced nodes are <verdict> after 6 s
    And each ready replaced node has the revisions known before
    And requests through ready nodes complete
    And all nodes are ready 6 s after the recovery

    Examples:
      | nodes | replaced | verdict |
      | 3     | 1        | ready   |
      | 3     | 3        | ready   |
      | 1     | 1        | ready   |

  Scenario: Nodes that are all replaced during an outage wait for the store
    Given a serving system of 3 failure domains with 1 nodes each
    When the platform goes down and all nodes are replaced
    Then the replaced nodes are not ready after 6 s
    And all nodes are ready 6 s after the recovery

  Scenario Outline: Recovery of the platform causes no burst of calls
    Given a serving system of 3 failure domains with <nodes> nodes each
    When the platform is <fault> for <outage> s and then recovers
    Then the platform got at most <reads> reads and <writes> writes in any second
    And every failure domain has a control lease holder within 5 s
    And a change accepted at the recovery is applied by all nodes within 5 s

    Examples:
      | nodes | fault | outage | reads | writes |
      | 3     | down  | 30     | 60    | 20     |
      | 3     | slow  | 30     | 60    | 20     |
      | 30    | down  | 8      | 600   | 150    |

  Scenario Outline: A partitioned failure domain keeps serving
    Given a serving system of 3 failure domains with 2 nodes each
    When "prov" is partitioned from <others> for 20 s
    Then requests through every node complete during the partition
    And a change made elsewhere is <state> in "prov" during the partition
    And all nodes have the same configuration 5 s after the partition

    Examples:
      | others                    | state        |
      | the platform              | in force     |
      | the other failure domains | in force     |
      | both                      | not in force |

  Scenario Outline: A leaving VM gets no new requests 3 s after the first sign
    Given a serving system of 3 failure domains with 3 nodes each
    And callers that send requests through every node continuously
    When the only sign that a serving VM leaves is <sign>
    Then it starts no request later than 3 s after the sign
    And no request failed

    Examples:
      | sign                                              |
      | the platform's list                               |
      | the platform's list, and no record can be written |
      | its own report                                    |

  Scenario: A slow peer does not delay the exchange with the others
    Given a node with 3 peers of which one never answers
    When exchanges run for 10 s
    Then each other peer was called at least 10 times
    And the slow peer never had two concurrent calls

  Scenario: Connections to removed peers are closed
    Given a node with 40 peers
    When exchanges run for 60 s after all but 2 peers were removed
    Then 40 connections were open, and 2 remain
