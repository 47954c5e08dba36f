Feature: Quarantines outlive all nodes

  # Nodes once kept quarantines in memory only, so that a request ended
  # endpoints again whenever all of them had been replaced.
  Scenario Outline: A node that starts after all others have ended turns the request away
    Given 3 nodes
    And node n1 finds 3 crashes under a <feature> at 1 s
    And all nodes end at <end> s
    And node n4 starts at <start> s
    When the nodes keep records for <seconds> s
    Then "<rejecting>" turn it away from their first view on

    Examples:
      | feature | end | start | seconds | rejecting |
      | request | 1.5 | 3     | 5       | n4        |
      | part    | 6   | 7     | 9       | n4        |
      | request | 1.5 | 590   | 592     | n4        |
      | request | 1.5 | 603   | 605     |           |

  Scenario Outline: One record is written, whichever nodes know of the crashes
    Given 3 nodes
    And node <finder> finds <count> crashes under a request at 1 s
    And no node reaches the store from <away> to <back> s
    When the nodes keep records for 60 s
    Then the store has <records> records, written <records> times
    And "<rejecting>" turn it away

    Examples: The finder writes at once, or another node if it can not
      | finder   | count | away | back | records | rejecting |
      | n1       | 3     | 50   | 51   | 1       | n1 n2 n3  |
      | n1 n2 n3 | 3     | 50   | 51   | 1       | n1 n2 n3  |
      | n2       | 3     | 0.5  | 20   | 1       | n1 n2 n3  |
      | none     | 3     | 50   | 51   | 1       | n1 n2 n3  |

    Examples: No quarantine, no record
      | finder   | count | away | back | records | rejecting |
      | n1       | 1     | 50   | 51   | 0       |           |

  # The copy of 20 s before holds no write, so the one counted came after it.
  Scenario Outline: Records are removed, written again and replaced as nodes learn more
    Given 3 nodes
    And node n1 finds 3 crashes under a <feature> at 1 s
    And <event> at 10 s
    When the nodes keep records for 40 s
    Then the store has <records> records, written <writes> times
    And "<rejecting>" turn it away

    Examples:
      | feature | event                                       | records | writes | rejecting |
      | request | the request is answered at node n3          | 0       | 1      |           |
      | request | a copy 20 s old replaces the store       | 1       | 1      | n1 n2 n3  |
      | request | a copy 2 s old replaces the store        | 1       | 1      | n1 n2 n3  |
      | part    | node n2 finds another crash                 | 1       | 2      | n1 n2 n3  |

  # A record must not be renewed for ever by nodes that read it late.
  Scenario Outline: A record ends with its quarantine, whatever a clock says
    Given 2 nodes
    And node n1 finds 3 crashes under a request at 1 s
    And the clock of node n3 is <ahead> s ahead
    And node n3 starts at 300 s
    And all other nodes end at 310 s
    When the nodes keep records for <seconds> s
    Then the store has <records> records, written <writes> times
    And "<rejecting>" turn it away

    Examples:
      | ahead | seconds | records | writes | rejecting |
      | 0     | 590     | 1       | 1      | n3        |
      | 0     | 605     | 0       | 1      |           |
      | 2     | 590     | 1       | 1      | n3        |
      | -2    | 605     | 0       | 1      |           |
      | 9999  | 590     | 1       | 1      |           |

    Examples: Far behind, its node keeps it as long as a new one, once
      | ahead | seconds | records | writes | rejecting |
      | -9999 | 605     | 0       | 1      | n3        |
      | -9999 | 905     | 0       | 2      |           |

  Scenario Outline: A record that cannot be read costs nothing else
    Given 1 nodes
    And a record "<text>" is stored beside a valid one
    When the nodes keep records for 3 s
    Then 1 requests are quarantined at node n1

    Examples:
      | text                                                        |
      | {}                                                          |
      | not a document                                              |
      | {"recorded_at_s": 1, "reports": [], "later": 5}             |
      | {"recorded_at_s": "x", "reports": []}                       |
      | {"recorded_at_s": 1, "reports": [{"kind": "of a later build"}]} |

  # A caller may invent such requests without end.
  Scenario: The number of records is bounded
    Given 2 nodes
    And node n1 finds that 150 requests have ended endpoints at 1 s
    When the nodes keep records for 20 s
    Then the store has 128 records, written 128 times
