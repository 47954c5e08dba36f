Feature: Generation model of the simulated engine

  Scenario Outline: Step duration grows with the batch and uncached tokens
    Given an engine with steps of 8 ms, 1 ms per request, 0.1 ms per token
    When <requests> requests with prompts of <blocks> blocks start together
    Then each has its first part after <first> ms and its second <step> later

    Examples:
      | requests | blocks | first | step |
      | 1        | 0      | 9.1   | 9    |
      | 1        | 2      | 21.9  | 9    |
      | 4        | 0      | 12.4  | 12   |

  Scenario Outline: A repeated prompt is prefilled from the cache
    Given an engine with steps of 8 ms, 1 ms per request, 0.1 ms per token
    When a prompt of 2 blocks is repeated after <between> other blocks
    Then <cached> of its blocks were cached

    Examples:
      | between | cached |
      | 0       | 2      |
      | 6       | 2      |
      | 7       | 1      |
      | 8       | 0      |

  Scenario: Queued requests with higher priority run first
    Given an engine whose batch holds 1 request
    When requests of priority 5, 1, 9, 5 arrive in this order
    Then they finish in the order 0, 2, 3, 1

  Scenario: A cancelled request frees its batch slot
    Given an engine whose batch holds 1 request
    When a long request is cancelled while another waits
    Then the other has its first part within two steps

  Scenario: The queue is bounded
    Given an engine whose batch holds 1 request
    When it holds 3 requests and may queue 2
    Then it is full until one of them ends

  Scenario Outline: The load is reported with a delay
    Given an engine that reports its load <lag> s late
    When a request starts and <passed> s pass
    Then it reports <running> running

    Examples:
      | lag | passed | running |
      | 0.5 | 0.4    | 0       |
      | 0.5 | 0.6    | 1       |
      | 0   | 0.1    | 1       |

  Scenario Outline: Cache events are delayed and lossy
    Given an engine that publishes events 1 s late and loses each 3rd
    When a prompt of 5 blocks is prefilled and <passed> s pass
    Then the events after <after> are <published>

    Examples:
      | passed | after | published |
      | 0.5    | 0     | none      |
      | 1.5    | 0     | 1,2,4,5   |
      | 1.5    | 2     | 4,5       |

  Scenario: A straggler takes longer for each step
    Given an engine with steps of 8 ms, 1 ms per request, 0.1 ms per token
    When it slows down by 3 and a request starts
    Then its first part comes after 27.3 ms
