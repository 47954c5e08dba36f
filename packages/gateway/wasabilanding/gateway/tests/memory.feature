Feature: What a node buffers for others is accounted for and bounded

  # A node of 96 MB holds 8 MB for others, and 2 MB for one request.
  Scenario Outline: A request is refused if the node may not hold it
    Given a node of <memory> MB that holds <held> MB for others
    When a caller declares <declared> bytes and sends <sent>
    Then it gets <status> after <parts> parts of the body
    And the node holds nothing for it afterwards

    Examples:
      | memory | held | declared | sent    | status | parts |
      | 96     | 0    | 1000000  | 1000000 | 200    | 10    |
      | 96     | 7.5  | 1000000  | 1000000 | 503    | 0     |
      | 96     | 7.5  | 1000     | 1000    | 200    | 1     |
      | 96     | 0    | 3000000  | 3000000 | 503    | 0     |
      | 96     | 0    | 0        | 3000000 | 503    | 20    |
      | 96     | 7.5  | 0        | 1000000 | 503    | 5     |
      | 96     | 0    | 5000000  | 5000000 | 413    | 0     |
      | 0      | 99   | 3000000  | 3000000 | 200    | 30    |
      | 0      | 99   | 5000000  | 5000000 | 413    | 41    |

  Scenario: A body that is declared and not sent is abandoned
    Given a node of 96 MB that holds 0 MB for others
    When a caller declares 1000000 bytes and sends 100000
    Then it gets 408 after 1 parts of the body
    And the answer came after 5.0 s
    And the metrics count 1 requests refused for "body_not_sent"
    And the node holds nothing for it afterwards

  Scenario: Bodies that are declared and not sent hold what has arrived
    Given a node of 96 MB that holds 0 MB for others
    When 50 callers declare 1000000 bytes and send 1000
    Then the node holds less than 4 MB
    And another request of 1000 bytes gets 200

  # Callers that stop before the end of their bodies kept the node's memory in
  # use, and ordinary requests were refused.
  Scenario Outline: A body that stalls gives its room to a smaller request
    Given a node of 96 MB that holds <others> MB for others
    When <count> callers declare 430000 bytes and send <sent>, and one asks <after> s later
    Then the request of that one gets <status>
    And <ended> of the callers have got 503 by then

    Examples:
      | others | count | sent   | after | status | ended |
      | 0      | 17    | 400000 | 0.6   | 200    | 1     |
      | 0      | 17    | 400000 | 0.2   | 503    | 0     |

  Scenario: The log tells when refusals begin and end
    Given a node of 96 MB that holds 7.5 MB for others
    When 3 requests are refused, and none for 1.5 s
    Then the log has one line on their begin and one on their end
    And the metrics count 3 refusals and show 7500000 bytes

  # A reservation that is not released would lower what the node accepts until
  # its restart.
  Scenario Outline: A request that is cancelled anywhere leaves no bytes behind
    Given a node of 96 MB that holds 0 MB for others
    And endpoints that reply with "<scripts>"
    When a request is cancelled at each of its steps in turn
    Then the node holds nothing after each of them

    Examples:
      | scripts           |
      | events 3          |
      | answer            |
      | reset 1, events 3 |
