Feature: Admission is fair, early and bounded

  Scenario Outline: Customers who always have work waiting share by weight
    Given a queue in which <weights> always have work of <sizes> tokens
    When <served> requests are served
    Then their tokens per weight differ by at most one request each

    Examples:
      | weights | sizes  | served |
      | 1,1     | 10,10  | 100    |
      | 1,1     | 10,100 | 300    |
      | 1,4     | 50,50  | 300    |
      | 2,3,5   | 7,90,1 | 900    |

  Scenario Outline: A customer that was idle gains no credit
    Given a queue in which 1,1 always have work of 10,10 tokens
    When only the first is served <alone> times and then both <both> times
    Then the second gets between <least> and <most> of the latter

    Examples:
      | alone | both | least | most |
      | 50    | 40   | 19    | 21   |
      | 500   | 40   | 19    | 21   |

  Scenario Outline: A request that can't make its deadline is refused on arrival
    Given 1 slot in which a token takes 0.1 s and <waiting> requests of 10 tokens before
    When a request of 10 tokens with a deadline in <deadline> s arrives
    Then it <ends>

    Examples:
      | waiting | deadline | ends                              |
      | 0       | 5        | is admitted                       |
      | 0       | 0.5      | is refused with Retry-After 1     |
      | 1       | 5        | waits                             |
      | 5       | 5        | is refused with Retry-After 1     |
      | 9       | 5        | is refused with Retry-After 6     |

  Scenario: Higher priority pushes out lower of the same customer only
    Given 1 slot in which a token takes 0.1 s and 1 requests of 10 tokens before
    And customer "salon" waits with priority 2 and a deadline in 4 s
    And customer "officer" waits with priority 2 and a deadline in 9 s
    When customer "salon" sends 2 requests of priority 8 with a deadline in 9 s
    Then the waiting request of "salon" is refused as overloaded
    And the waiting request of "officer" still waits

  Scenario: Waiting ends when the deadline can no longer be met
    Given 1 slot in which a token takes 0.1 s and 1 requests of 10 tokens before
    And customer "salon" waits with priority 5 and a deadline in 4 s
    Then it gives up 3.0 s from now with a final outcome

  Scenario Outline: A customer beyond its share leaves room for the others
    Given <slots> slots and customers of weight 1,1
    When the first asks for <wanted> requests after the second ran one
    Then <running> of the first run
    And a request of the second is admitted at once

    Examples:
      | slots | wanted | running |
      | 10    | 20     | 7       |
      | 20    | 40     | 15      |

  Scenario: A customer's own bound refuses at once
    Given 10 slots and customers of weight 1,1
    When a customer with a bound of 2 asks for 3 requests
    Then the third is refused for customer_limit

  Scenario Outline: Predicted waits learn from observed ones
    Given predictions of 1 s for waits of <waited> s
    Then a prediction of 2 s becomes <corrected> s

    Examples:
      | waited | corrected |
      | 1      | 2.4       |
      | 3      | 7.2       |
      | 0.1    | 1.2       |

  @fuzz
  Scenario: Admission keeps its promises in any order of events
    When any events come in any order to an admission
    Then no state breaks its invariants
