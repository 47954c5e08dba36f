Feature: Registrations by another writer

  # "ok" is a valid entry, "bytes" one that cannot be decoded, "other" one of a
  # service that is not configured; "gone" removes the entry. A valid entry of
  # e3 follows, so that an error in the batch shows.
  Scenario Outline: An entry names its endpoint while it is valid, and costs no other
    Given a view with endpoints "e1 e2"
    When e1 is written as "<entries>" and e3 follows, seen in a <way>
    Then its endpoints are "<known>"
    And <rejected> registrations name no endpoint
    And e1 is one of the recently removed: <removed>
    And a node that is fed by it has the endpoints "<known>"

    Examples:
      | entries               | way     | known    | rejected | removed |
      | ok                    | watch   | e1 e2 e3 | 0        | no      |
      | bytes                 | watch   | e2 e3    | 1        | yes     |
      | other                 | watch   | e2 e3    | 1        | yes     |
      | gone                  | watch   | e2 e3    | 0        | yes     |
      | bytes ok              | watch   | e1 e2 e3 | 0        | no      |
      | ok bytes              | watch   | e2 e3    | 1        | yes     |
      | bytes gone            | watch   | e2 e3    | 0        | yes     |
      | other bytes           | watch   | e2 e3    | 1        | yes     |
      | other gone            | watch   | e2 e3    | 0        | yes     |
      | bytes ok bytes ok     | watch   | e1 e2 e3 | 0        | no      |
      | bytes                 | listing | e2 e3    | 1        | yes     |
      | other                 | listing | e2 e3    | 1        | yes     |

  # Guards against an entry that ends the node when it is read, or when the node
  # connects to the address that it names.
  Scenario Outline: An odd entry costs no other and ends nothing
    Given a view with endpoints "e1 e2"
    When <name> is written as "<word>" and e3 follows, seen in a <way>
    Then its endpoints are "<known>"
    And a node that is fed by it has the endpoints "<known>"

    Examples:
      | name | word               | way     | known    |
      | e1   | deep               | watch   | e2 e3    |
      | e1   | deep               | listing | e2 e3    |
      | e1   | deep-unknown-field | watch   | e2 e3    |
      | e1   | many-digits        | listing | e2 e3    |
      | e1   | infinite-slots     | watch   | e2 e3    |
      | e1   | port-0             | watch   | e2 e3    |
      | e1   | port-65536         | watch   | e2 e3    |
      | e1   | port-65536         | listing | e2 e3    |
      | e1   | port-negative      | watch   | e2 e3    |
      | e1   | port-huge          | watch   | e2 e3    |
      | e1   | port-huge          | listing | e2 e3    |
      | e4   | port-huge          | watch   | e1 e2 e3 |
      | e1   | host-nul           | watch   | e2 e3    |
      | e1   | host-newline       | listing | e2 e3    |
      | e1   | host-long          | watch   | e2 e3    |
      | e1   | host-empty         | watch   | e2 e3    |
      | e1   | start-huge         | watch   | e2 e3    |
      | e1   | epoch-huge         | watch   | e2 e3    |
      | e1   | half-surrogate     | listing | e2 e3    |
      | e1   | field-twice        | watch   | e1 e2 e3 |

  Scenario Outline: All entries are odd, and later ones are followed
    Given a view with endpoints "e1 e2"
    When e1 is written as "<word>" and e3 follows, seen in a watch
    And e2 is written as "<word>" and e3 follows, seen in a watch
    And e3 is written as "<word> gone" and e3 follows, seen in a watch
    Then its endpoints are "e3"

    Examples:
      | word       |
      | deep       |
      | port-huge  |
      | host-long  |

  Scenario Outline: A key of another form names no endpoint
    Given a view with endpoints "e1 e2"
    When <key> is written as "ok" and e3 follows, seen in a <way>
    Then its endpoints are "e1 e2 e3"
    And 1 registrations name no endpoint

    # The last one is how nodes are named where an endpoint is expected.
    Examples:
      | key     | way     |
      | e4/x    | watch   |
      | e4/x    | listing |
      | /       | watch   |
      | node:n1 | watch   |

  Scenario: An entry that was removed between two listings counts no more
    Given a view with endpoints "e1 e2"
    When e1 is written as "bytes" and e3 follows, seen in a watch
    And e2 is written as "ok" and e3 follows, seen in a listing without e1
    Then its endpoints are "e2 e3"
    And 0 registrations name no endpoint

  Scenario: The service of an endpoint is configured later, and removed again
    Given a view with endpoints "e1 e2"
    When e1 is written as "other" and e3 follows, seen in a watch
    And services "service later" are configured
    Then its endpoints are "e1 e2 e3"
    And 0 registrations name no endpoint
    When services "service" are configured
    Then its endpoints are "e2 e3"
    And 1 registrations name no endpoint

  # One line an entry filled the log; one a heartbeat would still.
  Scenario Outline: Invalid entries share a log line in some seconds
    Given a view with endpoints "e1 e2"
    When <count> other entries are written each second for 21 s, <how>
    Then <lines> log lines tell of <count> registrations

    Examples:
      | count | how                  | lines |
      | 1     | always invalid       | 1     |
      | 500   | always invalid       | 1     |
      | 500   | invalid and valid    | 4     |

  # More changes than a segment holds would make all nodes read the store.
  Scenario: Invalid entries that are written again do not burden the feed
    Given a view with endpoints "e1 e2"
    When 500 other entries are written each second for 3 s, always invalid
    Then its next segment is whole and has 0 changes
