Feature: Replies without end

  # Guards against an engine that sends bytes without end, which the node kept
  # until its memory was used up, and with it the requests of others.
  Scenario Outline: A reply without end is given up
    Given an engine that replies with <reply> without end
    When <what> is asked of it
    Then it ends with "<result>" within <bound> s
    And the engine could send at most <most> MiB

    Examples: Calls, whose time is limited as a whole or from the reply on
      | what         | reply           | result  | bound | most |
      | report       | a body          | None    | 3     | 80   |
      | report       | chunks          | None    | 3     | 80   |
      | report       | a failure       | None    | 3     | 16   |
      | report       | a slow body     | None    | 3     | 1    |
      | report       | a head          | None    | 3     | 16   |
      | report       | interim answers | None    | 3     | 300  |
      | cache_events | a body          | None    | 3     | 80   |
      | order        | a body          | refused | 3     | 80   |
      | order        | a slow body     | refused | 3     | 1    |

    Examples: Requests, which are resumed three times where they may be
      | what   | reply     | result       | bound | most |
      | stream | an event  | may_have_run | 10    | 64   |
      | stream | a failure | may_have_run | 10    | 64   |
      | answer | a body    | failed       | 10    | 80   |
      | answer | chunks    | failed       | 10    | 80   |
