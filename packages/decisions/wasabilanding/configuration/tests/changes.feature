Feature: Operators' changes to the configuration

  Scenario Outline: A change to an outdated revision is refused and changes nothing
    Given profile "draft" at revision <standing>
    When an operator writes "draft" in place of revision <expected>
    Then the change is <verdict>
    And profile "draft" is at revision <after>

    Examples:
      | standing | expected | verdict  | after |
      | 0        | 0        | accepted | 1     |
      | 1        | 1        | accepted | 2     |
      | 2        | 1        | conflict | 2     |
      | 1        | 0        | conflict | 1     |
      | 9        | 9        | accepted | 10    |

  Scenario Outline: Rolling back writes a new, higher revision
    Given profile "draft" at revision <standing>
    When an operator rolls "draft" back to revision <to>
    Then the change is <verdict>
    And profile "draft" is at revision <after>

    Examples:
      | standing | to | verdict  | after |
      | 3        | 1  | accepted | 4     |
      | 3        | 7  | refused  | 3     |
      | 12       | 2  | refused  | 12    |
      | 12       | 9  | accepted | 13    |
