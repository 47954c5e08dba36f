Feature: History of the configuration in force

  Scenario Outline: The checker finds a planted violation
    Given a history in which <plant>
    When the history is checked with a bound of 5 s
    Then it has violations of kind "<kind>"

    Examples:
      | plant                                           | kind   |
      | nothing is wrong                                |        |
      | a node goes back within one life                | fell   |
      | a node goes back in its next life               | fell   |
      | a node is not ready while it is behind          |        |
      | a node is behind for longer than the bound      | late   |
      | a node is behind while it is out of reach       |        |
      | a node is replaced within the bound             |        |
      | one revision has two contents                   | forked |
      | an accepted change is missing later             | lost   |

  Scenario Outline: Racing operators and faults cause no violation
    When 3 operators race on 9 nodes for 20 s with <faults> and seed <seed>
    Then at least 10 changes were accepted
    And each was in force on every reachable node within 5 s and none reverted

    Examples:
      | faults                                     | seed |
      | replace                                    | 1    |
      | outage, replace                            | 2    |
      | slow store, lost answers                   | 3    |
      | slow network                               | 9    |
      | cut from platform                          | 4    |
      | cut from others                            | 5    |
      | cut from both                              | 6    |
      | all                                        | 7    |
      | all                                        | 8    |
