Feature: The system inside one process

  Scenario: The same seed gives the same run
    When the same scenario runs twice with seed 7
    Then both runs saw the same events at the same times

  Scenario: An error in the planner ends no request and no process
    When the planner fails for 10 seconds while requests run
    Then all requests completed
    And a replica that lost a VM meanwhile serves again afterwards
