Feature: Rules against poisonous requests

  Scenario Outline: Deaths and what shares them decide the standing
    Given deaths with requests in flight <deaths>
    And requests that completed later "<completed>"
    Then request "p" is <standing>

    Examples:
      | deaths             | completed | standing  |
      | p                  |           | suspected |
      | abcp               |           | suspected |
      | p, p               |           | condemned |
      | abcp, p            |           | condemned |
      | abcp, defp         |           | suspected |
      | abcp, defp         | abcdef    | condemned |
      | abcp, defp, ghip   |           | condemned |
      | abcp, defp         | p         | clean     |
      | abc, def           |           | clean     |

  Scenario Outline: Notices merge in any order and are forgotten
    Given deaths with requests in flight p, p
    When the notices reach a peer <order> and <seconds> seconds pass
    Then the peer holds request "p" for <standing>

    Examples:
      | order     | seconds | standing  |
      | in order  | 1       | condemned |
      | reversed  | 1       | condemned |
      | twice     | 1       | condemned |
      | in order  | 590     | condemned |
      | in order  | 599     | suspected |
      | in order  | 700     | clean     |

  Scenario: A withdrawn death does not count, whatever comes first
    Given deaths with requests in flight p, p
    When the last death is withdrawn before its notice arrives
    Then the peer holds request "p" for suspected

  Scenario: Homes follow the prefix and spread by the text
    When homes are chosen for 400 texts with one beginning among 12 replicas
    Then two replicas are a home of all texts
    And each other replica is a home of 15 to 70 texts

  @fuzz
  Scenario Outline: Any order of copies, deaths, notices and rebuilds
    Given a poison guard with <rules>
    When copies come through all nodes in any order
    Then the search finds <found>

    Examples:
      | rules                      | found            |
      | all rules                  | nothing          |
      | no homes                   | four deaths      |
      | no refusal                 | four deaths      |
      | homes forgotten at once    | four deaths      |
