Feature: Poisonous requests

  Scenario Outline: A poisonous request crashes at most three endpoints
    Given a poisonous request that is sent "<how>" with seed <seed>
    Then at most 3 endpoints of each failure domain crashed
    And later copies are refused as poisoned under any key and customer
    And no innocent request is refused as poisoned
    And of the innocent requests 95 in 100 completed, and all later ones

    Examples:
      | how                        | seed |
      | one after another          | 1    |
      | together                   | 1    |
      | together                   | 2    |
      | non-idempotent             | 1    |
      | staggered                  | 1    |
      | staggered, VMs restart     | 1    |
      | staggered, VMs restart     | 2    |
      | beside innocent requests   | 1    |
      | beside innocent requests   | 3    |

  Scenario Outline: Without a part of the guard more endpoints crash
    Given the poison guard without <part>
    And a poisonous request that is sent "<how>" with seed <seed>
    Then the checker finds more than 3 crashes

    Examples:
      | part       | how               | seed |
      | refusal    | one after another | 1    |
      | homes      | together          | 1    |

  Scenario: Innocent requests whose replicas crashed twice are not refused
    Given innocent requests two of whose replicas are killed
    Then none of them is refused as poisoned
    And a repeat of each completes
