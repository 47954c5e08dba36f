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

  # The time of the presumed crash once stayed that of the replica.
  Scenario: A replica that crashes after a withdrawn crash is part of the later mass event
    Given crashes with requests in flight p, p
    And 4 replicas have presumed crashes at 0 s that are withdrawn
    When those replicas crash at the time of the last crash
    Then request "p" is suspected

  Scenario: A withdrawn crash does not count in any order of notices
    Given crashes with requests in flight p, p
    When the last crash is withdrawn before its notice arrives
    Then at the peer request "p" is suspected

  Scenario Outline: Many crashes at the same moment condemn no innocent request
    Given <others> other replicas crash at the same moment as each crash <in mass event>
    And crashes with request p in flight at <own>, and <beside> others each
    Then request "p" is <standing>

    Examples: 60 of 100 endpoints are lost at once, or a few
      | others | in mass event | own   | beside | standing  |
      | 60     | 1             | 1     | 0      | suspected |
      | 60     | 1             | 1 2   | 0      | suspected |
      | 60     | 1 2           | 1 2   | 0      | suspected |
      | 60     | 1 2           | 1 2 3 | 8      | suspected |
      | 3      | 1 2           | 1 2   | 0      | condemned |

    Examples: One of the requests ends endpoints beside the mass event
      | others | in mass event | own       | beside | standing  |
      | 60     | 1             | 1 2 3     | 0      | condemned |
      | 60     | 2             | 1 2 3 4   | 8      | condemned |
      | 60     | 1 2 3 4 5     | 1 2 3 4 5 | 8      | condemned |

  Scenario: Requests of the whole fleet stay admitted in a mass event
    Given 60 replicas that crash at once, each with 9 of 540 requests in flight
    When each request runs again beside one that ends replicas
    Then no request but that one is condemned

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
