Feature: Fair and bounded admission with early refusal

  Scenario Outline: Backlogged customers are served in proportion to their weights
    Given a queue of customers with weights <weights> and backlogs of <sizes> tokens
    When <served> requests are served
    Then the tokens served per weight differ by at most one request per customer

    Examples:
      | weights | sizes  | served |
      | 1,1     | 10,10  | 100    |
      | 1,1     | 10,100 | 300    |
      | 1,4     | 50,50  | 300    |
      | 2,3,5   | 7,90,1 | 900    |

  Scenario Outline: A customer that was idle gains no credit
    Given a queue of customers with weights 1,1 and backlogs of 10,10 tokens
    When only the first customer is served <alone> times and then both <both> times
    Then the second customer is served between <least> and <most> of the latter times

    Examples:
      | alone | both | least | most |
      | 50    | 40   | 19    | 21   |
      | 500   | 40   | 19    | 21   |

  Scenario Outline: A request that cannot meet its deadline is refused on arrival
    Given 1 slot that takes 0.1 s per token and <waiting> earlier requests of 10 tokens
    When a request of 10 tokens with a deadline in <deadline> s arrives
    Then it <ends>

    Examples:
      | waiting | deadline | ends                              |
      | 0       | 5        | is admitted                       |
      | 0       | 0.5      | is refused with Retry-After 1     |
      | 1       | 5        | waits                             |
      | 5       | 5        | is refused with Retry-After 1     |
      | 9       | 5        | is refused with Retry-After 6     |

  Scenario: A higher priority displaces only requests of the same customer
    Given 1 slot that takes 0.1 s per token and 1 earlier requests of 10 tokens
    And customer "salon" waits with priority 2 and a deadline in 4 s
    And customer "officer" waits with priority 2 and a deadline in 9 s
    When customer "salon" sends 2 requests of priority 8 with a deadline in 9 s
    Then the waiting request of "salon" is refused as overloaded
    And the waiting request of "officer" still waits

  Scenario: A wait ends when the deadline can no longer be met
    Given 1 slot that takes 0.1 s per token and 1 earlier requests of 10 tokens
    And customer "salon" waits with priority 5 and a deadline in 4 s
    Then its wait ends in 3.0 s with a final outcome

  Scenario Outline: A customer beyond its share leaves slots free for other customers
    Given <slots> slots and customers of weight 1,1
    When the first customer sends <wanted> requests while the second runs one
    Then <running> requests of the first customer run
    And a request of the second customer is admitted immediately

    Examples:
      | slots | wanted | running |
      | 10    | 20     | 7       |
      | 20    | 40     | 15      |

  Scenario: Requests beyond a customer's limit are refused immediately
    Given 10 slots and customers of weight 1,1
    When a customer with a limit of 2 sends 3 requests
    Then the third request is refused with reason customer_limit

  Scenario Outline: Predicted waits are corrected by observed waits
    Given predicted waits of 1 s and observed waits of <waited> s
    Then a predicted wait of 2 s is corrected to <corrected> s

    Examples:
      | waited | corrected |
      | 1      | 2.4       |
      | 3      | 7.2       |
      | 0.1    | 1.2       |

  @fuzz
  Scenario: Admission keeps its invariants in any order of events
    When admission events occur in any order
    Then no invariant of admission is violated
