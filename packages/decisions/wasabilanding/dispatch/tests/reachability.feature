Feature: A node finds out that it is cut off from all endpoints

  # "0.1>" is a request that is sent at 0.1 s, "0.2<" something received,
  # "0.3!a" a failure of endpoint a, "0.4=1/3" a check that one of three
  # endpoints has accepted.
  Scenario Outline: Failures of several endpoints, or silence of all, ask for a check
    When a node sees <events>
    Then at <at> s a check is <due>
    And the node <state>

    Examples:
      | events                    | at  | due     | state              |
      | 0>                        | 0.5 | not due | reaches endpoints  |
      | 0>                        | 0.7 | due     | reaches endpoints  |
      | 0> 0.3<                   | 0.7 | not due | reaches endpoints  |
      | 0> 0.3<                   | 1.0 | due     | reaches endpoints  |
      | 0> 0.3< 0.4.              | 9   | not due | reaches endpoints  |
      | 0!a                       | 0.1 | not due | reaches endpoints  |
      | 0!a 0.1!a                 | 0.2 | not due | reaches endpoints  |
      | 0!a 0.1!b                 | 0.2 | due     | reaches endpoints  |
      | 0!a 0.1< 0.2!b            | 0.3 | not due | reaches endpoints  |
      | 0!a 0.1!b 0.2=1/4         | 0.9 | not due | reaches endpoints  |
      | 0!a 0.1!b 0.2=0/4         | 0.3 | not due | reaches none       |
      | 0!a 0.1!b 0.2=0/4         | 0.8 | due     | reaches none       |
      | 0!a 0.1!b 0.2=0/4 0.8=1/4 | 1.4 | not due | reaches endpoints  |
      | 0!a 0.1!b 0.2=0/0         | 0.3 | not due | reaches endpoints  |

  # Guards against a node that sleeps although a check is due.
  Scenario: No check becomes due before a node looks again
    When 500 random requests and replies are seen
    Then after each a check became due no sooner than the node was told
