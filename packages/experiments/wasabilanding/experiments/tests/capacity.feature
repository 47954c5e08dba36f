Feature: The capacity page

  Scenario: The committed page matches the measured slopes
    When the capacity page is rendered from docs/capacity.json
    Then it equals docs/CAPACITY.md

  Scenario Outline: A requirement over budget states by what factor
    When a requirement needs <needed> of a budget of <budget>
    Then its verdict is <verdict>

    Examples:
      | needed | budget | verdict                      |
      | 5      | 10     | fits                         |
      | 10     | 10     | fits                         |
      | 25     | 10     | does not fit, by 2.5 times   |
