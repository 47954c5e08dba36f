Feature: Endpoints receive no more tokens than they can hold

  Scenario Outline: A request that no endpoint can ever hold is refused at once
    Given 2 endpoints that hold <capacity> tokens each
    When a request of <prompt> and <answer> tokens is sent
    Then its caller gets <status> at once with Retry-After: <retry>

    Examples:
      | capacity | prompt | answer | status | retry |
      | 1000     | 900    | 101    | 503    | no    |
      | 1000     | 900    | 100    | 200    | no    |
      | 0        | 900    | 101    | 200    | no    |

  # Endpoints crash if their requests need more than they hold.
  Scenario Outline: The requests at an endpoint never need more than it holds
    Given 2 endpoints that hold 1000 tokens each
    And admission is <admission>
    When <count> requests of 300 and 100 tokens are sent at once
    Then no endpoint had more than 1000 tokens
    And <answered> callers get 200 and the others 503 with Retry-After

    Examples:
      | admission | count | answered |
      | off       | 4     | 4        |
      | off       | 6     | 6        |
      | off       | 99    | 28       |
      | on        | 6     | 6        |
      | on        | 30    | 30       |

  # Without a known size the mean is 0, by which nothing may be divided.
  Scenario: Requests that state no tokens are answered
    Given 2 endpoints that hold 1000 tokens each
    And admission is on
    When 6 requests of 0 and 0 tokens are sent at once
    Then 6 callers get 200 and the others 503 with Retry-After

  Scenario Outline: Requests of other nodes count with the mean size of its own
    Given 2 endpoints that hold 1000 tokens each
    And this node's requests had 300 tokens on average
    And another node reported <others> requests at each endpoint <age> s ago
    When a request of 200 and 100 tokens is sent
    Then its caller gets <status>

    Examples:
      | others | age | status |
      | 2      | 0   | 200    |
      | 3      | 0   | 503    |
      | 3      | 3   | 200    |
