Feature: Endpoints that have asked to receive nothing for a time

  Scenario Outline: Nothing is sent to a held endpoint
    Given endpoints near with 0 and far with <far> requests in flight
    And near is held at <at> s for <seconds> s
    When a request is sent at 100 s
    Then it goes to <chosen>

    Examples: A hold ends, and a full endpoint is better than a held one
      | at   | seconds | far | chosen |
      | 99   | 1.01    | 0   | far    |
      | 99   | 1.01    | 40  | far    |
      | 99   | 1       | 0   | near   |
      | 98.5 | 1       | 0   | near   |

  Scenario: Nothing is sent to a held endpoint even if all others are avoided
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at 99 s for 2 s
    And far is held at 99 s for 2 s
    When a request is sent at 100 s
    Then it goes nowhere
    And the first endpoint returns 1 s later

  Scenario Outline: A later hold never shortens an earlier one
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at 99 s for <first> s
    And near is held at 99.5 s for <second> s
    Then a request is admitted to near at <before> s: no
    And a request is admitted to near at <after> s: yes

    Examples:
      | first | second | before | after |
      | 2     | 0.1    | 100.9  | 101   |
      | 0.1   | 2      | 101.4  | 101.5 |

  Scenario Outline: A returning endpoint first receives one request, then more
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at 99 s for 1 s
    When near returns at 100 s and its requests are "<replies>"
    Then near receives <most> more requests at once

    Examples:
      | replies                              | most |
      |                                      | 1    |
      | accepted                             | 2    |
      | accepted accepted accepted           | 4    |
      | accepted accepted accepted refused   | 1    |
      | accepted lost                        | 2    |
      | lost                                 | 1    |

  Scenario: A reply to a request sent before the hold tells nothing
    Given endpoints near with 0 and far with 0 requests in flight
    And a request was admitted to near at 98 s
    And near is held at 99 s for 1 s
    When the earlier request is accepted
    Then the earlier request may still be sent: no
    And near receives 1 more requests at once

  Scenario: An endpoint that has accepted enough requests is used normally
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at 99 s for 1 s
    When near returns at 100 s and accepts 16 requests
    Then near receives 50 more requests at once

  Scenario: An unused endpoint is used normally some time after its hold
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at 50 s for 1 s
    When a request is sent at 100 s
    Then near receives 50 more requests at once

  # The next start may have asked before its registration was seen.
  Scenario Outline: A hold ends with the start that asked for it
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at <at> s for 60 s
    When another start of near is seen at <seen> s
    Then a request is admitted to near at 100 s: <expected>

    Examples:
      | at | seen | expected |
      | 90 | 99   | yes      |
      | 95 | 99   | no       |

  Scenario: A hold lasts while its endpoint goes on or is not registered
    Given endpoints near with 0 and far with 0 requests in flight
    And near is held at 50 s for 60 s
    When the same start of near is seen at 99 s
    Then a request is admitted to near at 100 s: no
    When no start of near is seen at 99 s
    Then a request is admitted to near at 100 s: no

  Scenario Outline: Nothing arrives during a hold, and one request returns first
    When requests and holds come in any order to a node <kind>
    Then the violation found is <violation>

    Examples: Each other kind lacks one rule
      | kind                                      | violation                        |
      | whole                                     | nothing                          |
      | without the longest hold                  | a request arrives during a hold  |
      | without a check before sending            | an earlier request is sent       |
      | without a limit after a hold              | two requests return at once      |
      | without regard to when a request was sent | two requests return at once      |
