Feature: Choice of the endpoint that takes a request

  Scenario Outline: The least of the own work wins, near before far
    Given endpoints near with <near> and far with <far> requests in flight
    When a request is sent at 100 s
    Then it goes to <chosen>

    Examples:
      | near | far | chosen |
      | 0    | 0   | near   |
      | 3    | 0   | near   |
      | 4    | 0   | far    |
      | 4    | 1   | near   |
      | 9    | 2   | far    |

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
