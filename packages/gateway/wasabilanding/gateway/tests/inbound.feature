Feature: Callers that disconnect

  Scenario Outline: Only a caller that leaves before its answer is complete ends a request
    Given a handler that answers <answer> and then works for 0.1 s
    When the caller's connection ends <moment>
    Then the handler <fate>

    Examples:
      | answer     | moment                     | fate         |
      | completely | at the end of the answer   | has finished |
      | in part    | after the part             | is cancelled |
