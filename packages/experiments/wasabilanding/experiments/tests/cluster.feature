Feature: The system inside one process

  Scenario: The same seed gives the same run
    When the same scenario runs twice with seed 7
    Then both runs saw the same events at the same times
