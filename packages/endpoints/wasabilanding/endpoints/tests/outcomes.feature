Feature: Outcome of a request as reported to its caller

  Scenario Outline: <fault>, <kind> request: <verdict> with <runs> runs
    Given the next request encounters "<fault>" at its engine
    When a <kind> request is sent
    Then its caller gets the verdict "<verdict>"
    And engines ran it <runs> times
    And the answer is complete if the verdict is completed

    Examples:
      | fault                         | kind           | verdict      | runs |
      | nothing                       | non-idempotent | completed    | 1    |
      | refused connections           | non-idempotent | completed    | 1    |
      | break in the send             | non-idempotent | may_have_run | 0    |
      | break in the send             | idempotent     | completed    | 1    |
      | break before the start        | non-idempotent | may_have_run | 0    |
      | break before the start        | idempotent     | completed    | 1    |
      | break after the start         | non-idempotent | completed    | 1    |
      | refuse before the start       | non-idempotent | completed    | 1    |
      | refuse after the start        | non-idempotent | completed    | 1    |
      | reject as invalid             | idempotent     | not_run      | 0    |
      | fail after the start          | non-idempotent | may_have_run | 1    |
      | fail after the start          | idempotent     | completed    | 2    |
      | break between parts           | non-idempotent | completed    | 1    |
      | break before the end          | non-idempotent | completed    | 1    |
      | silent before the first part  | non-idempotent | completed    | 1    |
      | silent between parts          | non-idempotent | completed    | 1    |
      | repeat parts                  | non-idempotent | completed    | 1    |
      | reorder parts                 | non-idempotent | completed    | 1    |
      | end before the last part      | non-idempotent | completed    | 1    |
      | lose a part                   | non-idempotent | completed    | 1    |
      | comments and carriage returns | non-idempotent | completed    | 1    |
      | error event                   | idempotent     | may_have_run | 1    |
      | forget the stream between parts | idempotent   | may_have_run | 1    |
      | fail the run between parts    | idempotent     | may_have_run | 1    |

  Scenario Outline: A request that all engines refuse after <first>: <verdict>
    Given all engines refuse after "<first>"
    When an idempotent request is sent
    Then its caller gets the verdict "<verdict>"
    And engines ran it <runs> times
    And a retry is <advice>

    Examples:
      | first                | verdict      | runs | advice      |
      | refuse before the start | not_run   | 0    | advised     |
      | fail after the start | may_have_run | 1    | not advised |

  Scenario Outline: A deadline of <deadline> ms is kept while waiting for <wait>
    Given the request must wait for <wait>
    When a request with a deadline of <deadline> ms is sent
    Then its caller gets the verdict "<verdict>"
    And the answer came after <deadline> ms

    Examples:
      | wait              | deadline | verdict      |
      | a paused engine   | 700      | may_have_run |
      | its claim         | 300      | not_run      |

  Scenario: The run of a caller that disconnects is stopped
    When a caller disconnects after 5 parts
    Then the engine stops its run within 1 second

  Scenario: Retries are limited by the retry budget
    Given every engine fails each request after its start
    When 60 idempotent requests are sent
    Then at most 16 of them were retried
