Feature: Delivery of the parts of an answer

  Scenario: Parts that arrive repeatedly and in any order are passed on once in order
    When parts of answers arrive in any order with repeats
    Then each answer is passed on once, in order, and is complete at its end

  Scenario: An answer with a missing part is not complete
    When any one part of an answer is lost
    Then the answer is not complete and resumes from the lost part

  Scenario Outline: Reads of <streams> streams with a part every <interval> ms
    When a node relays <streams> streams with a part every <interval> ms
    Then each stream is read once per <parts> parts
    And the time between reads is below 39 ms or equals one interval

    Examples:
      | streams | interval | parts |
      | 1       | 8        | 1     |
      | 8       | 8        | 2     |
      | 100     | 8        | 4     |
      | 100     | 5        | 7     |
      | 100     | 17       | 2     |
      | 100     | 40       | 1     |
