Feature: Replies that an endpoint sends once more

  # Guards against an answer to an earlier request being handed to the caller of
  # a later one with the same id, on the connection that both used.
  Scenario Outline: An earlier answer with the same id is not taken again
    Given an endpoint that repeats its first <first>, <moment>
    When <kind> requests with the ids "<ids>" are sent to it
    Then their callers get "<statuses>"

    Examples: The endpoint answers the last request with a failure
      | first   | moment                             | kind                | ids     | statuses    |
      | success | once the next request was sent     | safe                | a a     | 200 500     |
      | success | once the next request was sent     | resumable streaming | a a     | 200 500     |
      | success | between two requests               | safe                | a a     | 200 500     |
      | success | with the first                     | safe                | a a     | 200 500     |
      | success | once the second next was sent      | safe                | a b a   | 200 200 500 |
      | success | while the next body is being sent  | safe                | a a     | 200 500     |

    Examples: The endpoint answers the last request with a success
      | first   | moment                             | kind                | ids     | statuses    |
      | failure | once the next request was sent     | unsafe              | a a     | 500 200     |
      | failure | once the next request was sent     | safe                | a a     | 500 200     |

  # A connection is not given up for requests with other ids.
  Scenario: Connections carry many requests
    Given an endpoint that repeats nothing
    When safe requests with the ids "a b c d e a f" are sent to it
    Then it has accepted 2 connections from the node
