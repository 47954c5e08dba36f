Feature: Choice of the endpoint for a request
  The endpoint near is in the node's own failure domain, far in another one.

  Scenario Outline: A request leaves the failure domain if few slots are free there
    Given endpoints near with <near> and far with <far> requests in flight
    And another node reported <others> requests in flight to near at <told> s
    When a request is sent at 100 s
    Then it goes to <chosen>

    Examples: Requests of this node; an endpoint has 9 slots
      | near | others | told | far | chosen |
      | 0    | 0      | 99.9 | 0   | near   |
      | 7    | 0      | 99.9 | 0   | near   |
      | 9    | 0      | 99.9 | 0   | far    |
      | 10   | 0      | 99.9 | 8   | far    |

    Examples: Requests of another node
      | near | others | told | far | chosen |
      | 3    | 4      | 99.9 | 0   | near   |
      | 3    | 6      | 99.9 | 0   | far    |
      | 3    | 6      | 98.0 | 0   | near   |

    Examples: No slot is free anywhere
      | near | others | told | far | chosen |
      | 9    | 0      | 99.9 | 9   | near   |
      | 17   | 0      | 99.9 | 9   | near   |
      | 19   | 0      | 99.9 | 9   | far    |
      | 0    | 30     | 99.9 | 9   | far    |

  Scenario: The drawn endpoints share requests that no report tells of yet
    Given endpoints of 9 slots with 0, 3 and 8 requests in flight
    When 1000 requests are sent at once by nodes that do not know of each other
    Then the endpoints receive at least 500, 300 and 30 of them

  Scenario: Other failure domains share the requests of a busy one
    Given endpoints near with 8 and far with 0 requests in flight
    When 1000 requests are sent at once by nodes that do not know of each other
    Then near receives at least 50 and at most 200 of them

  Scenario: A node's latest load report replaces the previous one
    Given endpoints near with 0 and far with 0 requests in flight
    And another node reported 12 requests in flight to near at 99.8 s
    And another node reported 2 requests in flight to near at 99.9 s
    When a request is sent at 100 s
    Then it goes to near

  Scenario Outline: An endpoint without progress is avoided if there is another
    Given endpoints near with 1 and far with 1 requests in flight
    And near <trouble>
    When a request is sent at 100 s
    Then it goes to <chosen>

    Examples:
      | trouble                                    | chosen |
      | is avoided until 100.1 s                   | far    |
      | is avoided until 99.9 s                    | near   |
      | has been silent since 99.6 s               | far    |
      | has been silent since 99.9 s               | near   |
      | lost a member and worked last at 98 s      | far    |
      | lost a member and worked last at 99.9 s    | near   |

  Scenario Outline: A report of a silent endpoint expires
    Given endpoints near with 0 and far with 1 requests in flight
    And near last made progress at <worked> s
    When another node reports at <told> s that near is silent
    And a request is sent at 100 s
    Then it goes to <chosen>
    And near counts as silent: <silent>

    Examples:
      | worked | told  | chosen | silent |
      | 90     | 99.8  | far    | yes    |
      | 90     | 98.5  | far    | no     |
      | 90     | 96.5  | near   | no     |
      | 99.5   | 99.6  | near   | no     |

  Scenario Outline: Silence is reported only if another endpoint makes progress
    Given endpoints near with 1 and far with 1 requests in flight
    And near last made progress at <near> s
    And far last made progress at <far> s
    Then at 100 s near is silent while another makes progress: <told>

    Examples:
      | near | far   | told |
      | 99.3 | 99.9  | yes  |
      | 99.3 | 99.3  | no   |
      | 99.9 | 99.9  | no   |

  Scenario Outline: A repeated report of a silent endpoint is not new
    Given endpoints near with 0 and far with 0 requests in flight
    And near last made progress at <worked> s
    When another node reports at 99 s that near is silent
    And another node reports at <again> s that near is silent
    Then the report is new: <news>

    Examples:
      | worked | again | news |
      | 90     | 99.5  | no   |
      | 90     | 100.2 | yes  |
      | 100.1  | 100.2 | no   |

  Scenario Outline: An endpoint with progress seen by another node is not silent
    Given endpoints near with 1 and far with 1 requests in flight
    And near has been silent since 99 s
    And another node reports progress of near at <worked> s
    When a request is sent at 100 s
    Then it goes to <chosen>
    And near counts as silent: <silent>

    Examples:
      | worked | chosen | silent |
      | 98     | far    | yes    |
      | 99.55  | far    | no     |
      | 99.8   | near   | no     |

  Scenario Outline: The next start of an endpoint begins anew
    Given endpoints near with <near> and far with 1 requests in flight
    And near <trouble>
    When near starts again
    And a request is sent at 100 s
    Then it goes to near
    And near counts as silent: no

    Examples: Requests to the previous start may still hang
      | near | trouble                     |
      | 1    | is avoided until 100.1 s    |
      | 1    | has been silent since 99 s  |
      | 9    | last made progress at 99 s  |

  Scenario: Progress of the next start does not excuse the previous one
    Given endpoints near with 1 and far with 1 requests in flight
    And near has been silent since 99 s
    When near starts again
    And near makes progress at 99.9 s
    Then the previous start of near counts as silent: yes
    And near counts as silent: no

  # Guards against a sum that drifts, as it is kept up from report to report.
  Scenario: The load of other nodes is the sum of their latest reports
    When 500 random reports of 5 nodes arrive, and the outdated ones are dropped
    Then the load was the sum of the latest report of each node throughout
