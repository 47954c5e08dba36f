Feature: Connections to an endpoint that is removed

  Scenario: An endpoint is removed while it answers
    When the connections of an endpoint are closed 0.2 s before the second half of its answer
    Then the answer is complete and its connection is closed within 1 s afterwards
    And a later request to the endpoint is sent on a new connection

  # A connection to an earlier start may be dead without a reset; a request that
  # is sent on it may count as run.
  Scenario Outline: A connection is used again only for the same start
    When requests are sent to its starts "<starts>"
    Then it has accepted <count> connections

    Examples:
      | starts | count |
      | 1 1 1  | 1     |
      | 1 2 2  | 2     |
