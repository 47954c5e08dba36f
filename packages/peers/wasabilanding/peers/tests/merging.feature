Feature: Merging of node state

  @fuzz
  Scenario Outline: Reordering, duplicates, delays, losses and clock jumps
    When <examples> runs of <steps> steps are drawn for <nodes> nodes
    Then no run breaks an invariant

    Examples:
      | examples | steps | nodes |
      | 60       | 60    | 3     |
      | 30       | 80    | 5     |

  Scenario: Merging is commutative and idempotent
    When updates are merged in two orders, some of them twice
    Then both member tables and both cluster states are equal
