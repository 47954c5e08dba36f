Feature: Choice of the endpoint that takes a request

  Scenario Outline: The least work in flight wins, near before far
    Given endpoints near with <near> and far with <far> requests in flight
    And another node told at <told> s that it has <others> in flight at near
    When a request is sent at 100 s
    Then it goes to <chosen>

    Examples: Own requests
      | near | others | told | far | chosen |
      | 0    | 0      | 99.9 | 0   | near   |
      | 9    | 0      | 99.9 | 0   | near   |
      | 10   | 0      | 99.9 | 0   | far    |
      | 10   | 0      | 99.9 | 1   | near   |
      | 19   | 0      | 99.9 | 9   | far    |

    Examples: Requests of another node
      | near | others | told | far | chosen |
      | 3    | 6      | 99.9 | 0   | near   |
      | 3    | 7      | 99.9 | 0   | far    |
      | 3    | 7      | 98.0 | 0   | near   |
      | 0    | 30     | 99.9 | 9   | far    |

  Scenario: A node's later word on its load replaces its earlier one
    Given endpoints near with 0 and far with 0 requests in flight
    And another node told at 99.8 s that it has 12 in flight at near
    And another node told at 99.9 s that it has 2 in flight at near
    When a request is sent at 100 s
    Then it goes to near

  Scenario Outline: An endpoint that does not work is avoided while there is another
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

  Scenario Outline: What another node tells of an endpoint counts for a time
    Given endpoints near with 0 and far with 1 requests in flight
    And near worked last at <worked> s
    When another node tells at <told> s that near is silent
    And a request is sent at 100 s
    Then it goes to <chosen>
    And near counts as silent: <silent>

    Examples:
      | worked | told  | chosen | silent |
      | 90     | 99.8  | far    | yes    |
      | 90     | 98.5  | far    | no     |
      | 90     | 96.5  | near   | no     |
      | 99.5   | 99.6  | near   | no     |

  Scenario Outline: A node tells others only of silence that is not its own
    Given endpoints near with 1 and far with 1 requests in flight
    And near worked last at <near> s
    And far worked last at <far> s
    Then at 100 s others are told that near is silent: <told>

    Examples:
      | near | far   | told |
      | 99.3 | 99.9  | yes  |
      | 99.3 | 99.3  | no   |
      | 99.9 | 99.9  | no   |

  Scenario Outline: What was told a short time ago is no news
    Given endpoints near with 0 and far with 0 requests in flight
    And near worked last at <worked> s
    When another node tells at 99 s that near is silent
    And another node tells at <again> s that near is silent
    Then it is news: <news>

    Examples:
      | worked | again | news |
      | 90     | 99.5  | no   |
      | 90     | 100.2 | yes  |
      | 100.1  | 100.2 | no   |

  Scenario Outline: An endpoint that works for another node is not silent
    Given endpoints near with 1 and far with 1 requests in flight
    And near has been silent since 99 s
    And another node tells that near worked at <worked> s
    When a request is sent at 100 s
    Then it goes to <chosen>
    And near counts as silent: <silent>

    Examples:
      | worked | chosen | silent |
      | 98     | far    | yes    |
      | 99.55  | far    | no     |
      | 99.8   | near   | no     |
