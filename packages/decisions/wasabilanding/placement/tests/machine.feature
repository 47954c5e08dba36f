Feature: The planner under any order of events

  @fuzz
  Scenario: The planner's invariants hold
    When 400 sequences of 30 events are generated
    Then every record satisfies the invariants
