Feature: The system in a single process

  Scenario: Runs with the same seed are identical
    When the same scenario runs twice with seed 7
    Then both runs recorded the same events at the same times

  Scenario: A planner error fails no request and stops no process
    When the planner fails for 10 seconds while requests run
    Then all requests completed
    And a replica that lost a VM in the meantime serves again
