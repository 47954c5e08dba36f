Feature: Replies that an endpoint sends once more

  # Guards against an answer to an earlier request being handed to the caller of
  # a later one with the same id, on the connection that both used.
  Scenario Outline: An earlier answer with the same id is not taken again
    Given an endpoint that replies with "<replies>", and with <extra>, <moment>
    When <kind> requests with the ids "<ids>" are sent to it
    Then their callers get "<statuses>"

    Examples: The endpoint answers the last request with a failure
      | replies                 | extra   | moment                            | kind                | ids   | statuses    |
      | success failure         | success | once the next request was sent    | safe                | a a   | 200 500     |
      | success failure         | success | once the next request was sent    | resumable streaming | a a   | 200 500     |
      | success failure         | success | between two requests              | safe                | a a   | 200 500     |
      | success failure         | success | with the first                    | safe                | a a   | 200 500     |
      | success success failure | success | once the second next was sent     | safe                | a b a | 200 200 500 |
      | success failure         | success | while the next body is being sent | safe                | a a   | 200 500     |

    Examples: The endpoint answers the last request with a success
      | replies         | extra   | moment                         | kind   | ids | statuses |
      | failure success | failure | once the next request was sent | unsafe | a a | 500 200  |
      | failure success | failure | once the next request was sent | safe   | a a | 500 200  |

  # A connection is not given up for requests with other ids.
  Scenario: Connections carry many requests
    Given an endpoint that replies once to each request
    When safe requests with the ids "a b c d e a f" are sent to it
    Then it has accepted 2 connections from the node

  # Guards against bytes that arrived before a request was sent being taken for
  # its reply.
  Scenario Outline: What is left over behind a reply belongs to no request
    Given an endpoint that replies with "<replies>", and with <extra>, <moment>
    When <kind> requests with the ids "a b" are sent to it
    Then their callers get "<statuses>"

    Examples:
      | replies         | extra            | moment               | kind                | statuses |
      | success         | refusal          | with the first       | unsafe              | 200 200  |
      | success         | nameless refusal | with the first       | unsafe              | 200 200  |
      | success         | nameless failure | with the first       | safe                | 200 200  |
      | success failure | success          | with the first       | resumable streaming | 200 500  |
      | failure success | refusal          | with the first       | unsafe              | 500 200  |
      | success         | refusal          | between two requests | unsafe              | 200 200  |

  # Guards against a late reply to a caller's request being taken for that to an
  # order, which would count as begun.
  Scenario Outline: A late reply to a caller's request is none to a call
    Given an endpoint that replies with "success", and with success, once the next request was sent
    When a safe request is sent to it, and then a call for <purpose>
    Then the call may have run

    Examples:
      | purpose   |
      | control   |
      | placement |
