Feature: Waiting of requests at the node while all slots are in use

  # Endpoints have one slot and answer a request after 0.5 s.

  Scenario Outline: Requests beyond the slots wait, and late ones are refused at once
    Given a node with admission control and endpoints that "<scripts>"
    And 4 requests have been answered
    When <requests> requests with a time limit of <limit> s are sent at once
    Then <served> of them or more are served, none after its time limit
    And the others are refused within 0.05 s, to return within <return> s
    And no endpoint had more than <most> requests at a time
    And the metrics show <refused> refusals or fewer by forecast

    Examples: A slot is free for each, so that none waits
      | scripts                | requests | limit | served | return | most | refused |
      | answer, answer         | 2        | 1     | 2      | 0      | 1    | 0       |
      | answer, answer, answer | 3        | 1     | 3      | 0      | 1    | 0       |

    Examples: All can be served in time
      | scripts                | requests | limit | served | return | most | refused |
      | answer, answer         | 6        | 8     | 6      | 0      | 3    | 0       |

    Examples: Most cannot
      | scripts                | requests | limit | served | return | most | refused |
      | answer, answer         | 30       | 2     | 4      | 0.67   | 3    | 26      |

  Scenario: A request whose caller has disconnected does not wait
    Given a node with admission control and endpoints that "mute"
    When 3 requests with a time limit of 6 s are sent at once
    And the callers disconnect after 1 s
    Then no request waits

  Scenario Outline: A request that waits is refused before its time limit
    Given a node with admission control and endpoints that "mute"
    When 3 requests with a time limit of 2 s are sent at once
    And the node <does> after 1 s
    Then 2 requests have been refused after <least> to <most> s, for "<reason>"

    Examples:
      | does           | least | most | reason        |
      | goes on        | 1.9   | 1.99 | overloaded    |
      | begins to stop | 1.0   | 1.05 | shutting_down |

  Scenario Outline: A refused send is repeated while time and retry budget allow
    Given a node with admission control and endpoints that "<scripts>"
    And each endpoint refuses <refusals> requests first
    And a retry budget of <budget>
    When 1 requests with a time limit of <limit> s are sent at once
    Then it gets <status> after <least> to <most> s
    And the endpoints got <arrivals> requests

    Examples: More than four refusals
      | scripts | refusals | budget | limit | status | least | most | arrivals |
      | answer  | 6        | 100    | 5     | 200    | 1.3   | 2.5  | 7        |

    Examples: Without a budget it waits for one, until it cannot end in time
      | scripts | refusals | budget | limit | status | least | most | arrivals |
      | answer  | 9        | 3      | 2     | 503    | 1.9   | 1.99 | 4        |

  Scenario: Requests waiting at other nodes come first
    Given a node with admission control and endpoints that "answer"
    And another node reports 4 waiting requests of each of 3 customers
    When 1 requests with a time limit of 5 s are sent at once
    Then it gets 200 after 0.57 to 3 s

  Scenario: Reports of a node that sends no more are dropped
    Given a node with admission control and endpoints that "answer"
    And another node reported 4 waiting requests of each of 3 customers 2 s ago
    When 1 requests with a time limit of 5 s are sent at once
    Then it gets 200 after 0.5 to 0.56 s
