Feature: The capacity page

  Scenario: The page says what the measured slopes say
    When the capacity page is rendered from docs/capacity.json
    Then it equals docs/CAPACITY.md

  Scenario Outline: A line that does not fit says by how much
    When a line needs <needed> of a budget of <budget>
    Then the line is told as <verdict>

    Examples:
      | needed | budget | verdict                      |
      | 5      | 10     | fits                         |
      | 10     | 10     | fits                         |
      | 25     | 10     | does not fit, by 2.5 times   |
