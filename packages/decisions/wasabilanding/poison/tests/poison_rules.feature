Feature: Protection against requests that crash endpoints

  Scenario Outline: Crashes and the other requests in flight determine the status
    Given crashes with requests in flight <deaths>
    And requests that complete later "<completed>"
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

  Scenario Outline: Notices can be merged in any order and expire
    Given crashes with requests in flight p, p
    When a peer receives the notices <order> and <seconds> seconds pass
    Then at the peer request "p" is <standing>

    Examples:
      | order     | seconds | standing  |
      | in order  | 1       | condemned |
      | reversed  | 1       | condemned |
      | twice     | 1       | condemned |
      | in order  | 590     | condemned |
      | in order  | 599     | suspected |
      | in order  | 700     | clean     |

  Scenario: A withdrawn crash does not count in any order of notices
    Given crashes with requests in flight p, p
    When the last crash is withdrawn before its notice arrives
    Then at the peer request "p" is suspected

  Scenario: Homes depend on the prefix and on the text
    When homes are chosen among 12 replicas for 400 texts with one prefix
    Then two replicas are homes of all texts
    And each other replica is a home of 15 to 70 texts

  @fuzz
  Scenario Outline: Copies, crashes, notices and rebuilds in any order
    Given a poison guard with <rules>
    When copies arrive through all nodes in any order
    Then the search finds <found>

    Examples:
      | rules                      | found            |
      | all rules                  | nothing          |
      | no homes                   | four deaths      |
      | no refusal                 | four deaths      |
      | homes forgotten at once    | four deaths      |
