Feature: The planner under any order of events

  @fuzz
  Scenario: Its invariants hold
    When 400 sequences of 30 events are drawn
    Then every record kept the invariants
