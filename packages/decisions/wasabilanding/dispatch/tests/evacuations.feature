Feature: Which failure domains are evacuated follows from the newest statements

  # Statements name a failure domain, whether it is evacuated, era and revision.
  Scenario Outline: Late, repeated and reordered statements change nothing
    When a node learns "<statements>"
    Then the evacuated failure domains are "<evacuated>"
    And other nodes are told "<told>"

    Examples: The higher revision counts, and a later era before an earlier one
      | statements             | evacuated | told          |
      | z1+1.7                 | z1        | z1+1.7        |
      | z1+1.7, z1-1.9         | -         | z1-1.9        |
      | z1+1.7, z1-1.9, z1+1.7 | -         | z1-1.9        |
      | z1-1.9, z1+1.8         | -         | z1-1.9        |
      | z1+1.7, z1-1.5         | z1        | z1+1.7        |
      | z1+1.7, z1-2.3         | -         | z1-2.3        |
      | z1-1.9, z1+2.3         | z1        | z1+2.3        |
      | z1+1.7, z2+1.8, z1-1.9 | z2        | z1-1.9 z2+1.8 |

    Examples: A listing is about all failure domains
      | statements               | evacuated | told          |
      | z1+1.7, list 1.9 z2      | z2        | z1-1.9 z2+1.9 |
      | z1+1.12, list 1.9        | z1        | z1+1.12       |
      | list 1.9, z1+1.8         | -         | z1-1.9        |
      | list 2.5, z1+1.7         | -         | -             |
      | list 1.9 z1, z1-1.8      | z1        | z1+1.9        |

    Examples: Evacuations are told as long as they last, their ends for 10 s
      | statements                          | evacuated | told   |
      | z1+1.7, wait 900                    | z1        | z1+1.7 |
      | z1+1.7, z1-1.9, wait 9              | -         | z1-1.9 |
      | z1+1.7, z1-1.9, wait 11             | -         | -      |
      | z1+1.7, z1-1.9, wait 11, z1+1.7     | -         | z1-1.9 |

    Examples: What a restore of the store has lost ends after 20 s
      | statements                             | evacuated | told   |
      | z1+1.7, restore 2.5                    | z1        | -      |
      | z1+1.7, restore 2.5, list 2.6, wait 19 | z1        | -      |
      | z1+1.7, restore 2.5, wait 20           | -         | z1-2.5 |
      | z1+1.7, restore 2.5, z1+2.6, wait 20   | z1        | z1+2.6 |
      | z1+1.7, restore 2.5, z1-2.6            | -         | z1-2.6 |
      | z1+1.7, restore 2.5 z1, wait 20        | z1        | z1+2.5 |
