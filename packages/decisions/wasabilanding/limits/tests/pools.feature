Feature: Requests of one node that wait for a pool that all nodes share

  # The pool has 10 slots, and a request holds one for 1 s.

  Scenario Outline: Customers share a pool, whatever they ask for
    Given customers that ask for <demands> requests a second for 20 s
    When the node is alone with the pool
    Then from 5 s on the customers are served <least> requests a second or more

    Examples:
      | demands  | least      |
      | 30,2     | 7,1.9      |
      | 12,12    | 4.5,4.5    |
      | 40,4,3,2 | 2.4,2.4,2.4,1.9 |

  Scenario Outline: No kind of request of a customer starves another one
    Given a customer's kinds "<kinds>" of priority and time limit, 10 requests a second of each for 30 s
    When the node is alone with the pool
    Then from 5 s on the kinds are served <least> requests a second or more
    And less than 0.1 of the refusals come after a wait

    Examples: Same priority; the patient kind does not fill the queue
      | kinds      | least |
      | 1 8, 1 2.5 | 4,4   |

    Examples: The higher priority first, but not alone
      | kinds      | least |
      | 0 5, 3 5   | 7,0.7 |

  Scenario Outline: A wrong forecast heals by the refused kind's own traffic
    Given requests of kind "slow" took 5 s each, and now take 1 s
    And 13 other customers have a request waiting
    When a request of kind "slow" with a time limit of 4 s comes every <interval> s
    Then the first is refused, and one is admitted within <bound> s

    Examples:
      | interval | bound |
      | 0.1      | 6     |
      | 1        | 6     |

  Scenario Outline: A request that is to be sent again
    Given 3 first attempts wait
    When a request waits again that <state>
    And the budget allows <budget> retries
    Then it is sent <position>

    Examples:
      | state                     | budget | position |
      | no endpoint has run       | 1      | first    |
      | an endpoint may have run  | 1      | last     |
      | no endpoint has run       | 0      | never    |

  Scenario Outline: Refused callers return in order, within a third of their time
    Given <waiting> requests of customer "a" wait
    When <count> requests with a time limit of 3 s are refused at once
    Then their times to return do not decrease, and are at most 1 s

    Examples:
      | waiting | count |
      | 40      | 5     |
      | 40      | 50    |

  Scenario Outline: The report of waiting requests is bounded
    Given <customers> customers with 1 waiting request in each of <pools> pools
    Then the report has <reported> customers in each of <kept> pools
    And it counts <total> requests

    Examples:
      | customers | pools | reported | kept | total |
      | 5         | 2     | 5        | 2    | 10    |
      | 100       | 1     | 32       | 1    | 100   |
      | 1         | 50    | 1        | 32   | 32    |

  Scenario Outline: Endpoints with limits count as what they may take
    Given 4 endpoints of 10 slots that take <rate> requests a second each until <ends> s
    When all nodes together send as many requests as the pool may take
    Then from 2 s to <ends> s they send <least> to <most> requests a second

    # With all slots counted, 40 would be sent at once.
    Examples:
      | rate | ends | least | most |
      | 2    | 6    | 7     | 9    |
      | 0.5  | 6    | 1.5   | 2.5  |

    Examples: No more than the slots take
      | rate | ends | least | most |
      | 30   | 6    | 36    | 44   |

  Scenario: The slots return step by step when limits end
    Given 4 endpoints of 10 slots that take 1 requests a second each until 6 s
    When all nodes together send as many requests as the pool may take
    Then in no 0.1 s from 6 s on they send more than 7 requests
    And from 8 s to 12 s they send 38 to 42 requests a second
