Feature: Change feed between nodes

  Scenario Outline: A segment is applied only by a view that misses no change
    Given a log that was reset at revision 10
    And endpoint e1 is registered in state s1 at revision 11
    And a segment is cut
    And endpoint e1 is registered in state <state> at revision 12
    And a segment is cut
    When endpoint e2 is registered in state s1 at revision 15
    And a segment is cut
    Then the segment covers "<covered>" of the revisions 10, 11, 12, 15, 20
    And the segment lists "<listed>"

    Examples: The last two cuts are at 11 and 12
      | state | covered     | listed |
      | s2    | 11 12 15 20 | e1 e2  |
      | s1    | 11 12 15 20 | e2     |

    Examples: The time for which an endpoint stays cold is a change
      | state | covered     | listed |
      | s1~3  | 11 12 15 20 | e1 e2  |

  Scenario Outline: A segment is applied only by a view of its era
    Given a log that was reset at revision 10
    And a segment is cut
    When endpoint e1 is registered in state s1 at revision 12
    And a segment is cut
    Then the segment covers revision 11 of the <era> era: <covers>

    Examples:
      | era      | covers |
      | previous | no     |
      | same     | yes    |
      | next     | no     |

  Scenario: A newer era begins a log of its own
    Given a log that was reset at revision 100
    And a segment is cut
    And endpoint e1 is registered in state s1 at revision 120
    And a segment is cut
    When the store is restored and listed at revision 90
    And endpoint e2 is registered in state s1 at revision 95 of the next era
    And a segment is cut
    Then the segment is of the next era, after 90 until 95
    And the segment lists "e2"

  Scenario: A late change of an older era does not move the log back
    Given a log that was reset at revision 100
    When the store is restored and listed at revision 90
    And endpoint e1 is registered in state s1 at revision 120
    And a segment is cut
    Then the segment is of the next era, after 90 until 90
    And the segment lists ""

  Scenario: A heartbeat is no change, but the first one after a removal is
    Given a log that was reset at revision 10
    And a segment is cut
    And endpoint e1 is registered in state s1 at revision 11
    And endpoint e1 is removed at revision 12
    And endpoint e1 is registered in state s1 at revision 13
    When a segment is cut
    Then the segment lists "e1"
    And the segment removes ""

  Scenario: A removed endpoint is listed as removed
    Given a log that was reset at revision 10
    And a segment is cut
    And endpoint e1 is registered in state s1 at revision 11
    And endpoint e1 is removed at revision 12
    When a segment is cut
    Then the segment lists ""
    And the segment removes "e1"

  Scenario Outline: A change that is not sent leaves a gap
    Given a log that was reset at revision 10
    And a segment is cut
    And endpoint e1 is registered in state s1 at revision 11
    When <what> happens at revision 12
    And a segment is cut
    Then the segment covers "12 15 20" of the revisions 10, 11, 12, 15, 20
    And the segment lists ""

    Examples:
      | what               |
      | a reset            |
      | a burst of changes |

  Scenario Outline: An answer proves the age of the view on the receiver's clock
    Given datagrams sent at 1, 2 and 3 s
    When the answer to the one at <sent> s states an age of <age> s
    Then the view was current at <as_of> s

    Examples:
      | sent | age | as_of |
      | 1    | 0   | 1     |
      | 3    | 0.5 | 2.5   |
      | 2    | 4   | -2    |

  Scenario: An answer to a datagram sent before a restart confirms nothing
    Given datagrams sent at 1, 2 and 3 s
    When the process starts again and sends datagrams at 10 s
    Then an answer to an earlier datagram confirms nothing
