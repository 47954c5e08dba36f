Feature: Outages of the platform, and failure domains that are cut off

  Scenario Outline: A node replaced during an outage takes what its peers hold
    Given a system of 3 failure domains with <nodes> nodes each that serves
    When the platform goes down and <replaced> nodes of "prov" are replaced
    Then the replaced nodes are <verdict> after 6 s
    And each ready node holds what the others held
    And requests through ready nodes complete
    And 6 s after the return all nodes are ready

    Examples:
      | nodes | replaced | verdict |
      | 3     | 1        | ready   |
      | 3     | 3        | ready   |
      | 1     | 1        | ready   |

  Scenario: Nodes that are all new wait for the store
    Given a system of 3 failure domains with 1 nodes each that serves
    When the platform goes down and all nodes are replaced
    Then the replaced nodes are not ready after 6 s
    And 6 s after the return all nodes are ready

  Scenario Outline: The return of the platform brings no burst
    Given a system of 3 failure domains with <nodes> nodes each that serves
    When the platform is <fault> for <outage> s and then returns
    Then no second had more than <reads> reads or <writes> writes
    And every failure domain has a holder of control within 5 s
    And a change accepted at the return is in force everywhere within 5 s

    Examples:
      | nodes | fault | outage | reads | writes |
      | 3     | down  | 30     | 60    | 20     |
      | 3     | slow  | 30     | 60    | 20     |
      | 30    | down  | 8      | 600   | 150    |

  Scenario Outline: A failure domain that is cut off goes on serving
    Given a system of 3 failure domains with 2 nodes each that serves
    When "prov" is cut off from <others> for 20 s
    Then requests through every node complete during the cut
    And a change made elsewhere is <state> in "prov" during the cut
    And 5 s after the cut all nodes have the same configuration

    Examples:
      | others                    | state        |
      | the platform              | in force     |
      | the other failure domains | in force     |
      | both                      | not in force |

  Scenario Outline: A leaving VM gets no new work within 3 s of the first sign
    Given a system of 3 failure domains with 3 nodes each that serves
    And callers who ask through every node all the time
    When the only sign that a serving VM leaves is <sign>
    Then it starts no request later than 3 s after the sign
    And no request failed meanwhile

    Examples:
      | sign                                              |
      | the platform's list                               |
      | the platform's list, and no record can be written |
      | its own report                                    |

  Scenario: A slow peer does not delay the exchange with the others
    Given a node with 3 peers of which one never answers
    When 10 s pass in the exchange
    Then each other peer was asked at least 10 times
    And the slow peer was never asked twice at once

  Scenario: Connections to peers that are gone are closed
    Given a node with 40 peers
    When 60 s pass in the exchange after all but 2 were replaced
    Then 40 connections were open, and 2 are left
