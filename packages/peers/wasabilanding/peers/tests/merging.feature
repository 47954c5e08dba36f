Feature: Merging of what nodes know

  @fuzz
  Scenario Outline: Any order, duplicates, delays, losses and clock jumps
    When <examples> runs of <steps> steps are drawn for <nodes> nodes
    Then no run breaks an invariant

    Examples:
      | examples | steps | nodes |
      | 60       | 60    | 3     |
      | 30       | 80    | 5     |

  Scenario: Merging is commutative and idempotent
    When news is merged in any two orders, some of it twice
    Then both tables and both knowledges are equal
