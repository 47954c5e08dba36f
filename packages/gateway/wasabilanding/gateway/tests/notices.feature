Feature: What an endpoint's reply says about the endpoint is obeyed

  Scenario Outline: An endpoint that announces its shutdown receives no other request
    Given <kind> requests of up to 2 attempts
    And endpoints that "leaving <script>, <other>"
    When requests are sent at 0 0.01 0.5 5 s
    Then e0 receives requests at 0 s
    And the shutdown of e0 is reported to other nodes once
    And e0 counts as leaving for 5 s

    Examples: Whatever the reply
      | kind                | script   | other    |
      | safe                | answer   | answer   |
      | safe                | refuse   | answer   |
      | safe                | fail     | answer   |
      | safe                | foreign  | answer   |
      | unsafe              | foreign  | answer   |
      | resumable streaming | events 3 | events 3 |

    Examples: Also if the rest of the reply does not arrive
      | kind                | script   | other    |
      | resumable streaming | silent 0 | events 3 |
      | resumable streaming | reset 0  | events 3 |

  Scenario: A stream that has begun ends normally
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "leaving events 40"
    When requests are sent at 0 s
    Then the answer to the first is whole

  Scenario: If all endpoints leave, requests are rejected at once
    Given safe requests of up to 2 attempts
    And endpoints that "leaving answer"
    When requests are sent at 0 1 s
    Then e0 receives requests at 0 s
    And the last request gets 503 within 0.01 s

  Scenario: Another start of the endpoint receives requests
    Given safe requests of up to 2 attempts
    And endpoints that "leaving answer"
    And e0 starts again at 0.5 s
    When requests are sent at 0 0.1 1 s
    Then e0 receives requests at 0 1 s

  Scenario Outline: A held endpoint receives nothing until its time is over
    Given <kind> requests of up to 2 attempts
    And endpoints that "busy <text> <script>, <other>"
    When requests are sent at 0 0.01 <inside> <after> s
    Then e0 receives requests at 0 <after> s
    And no shutdown is reported to other nodes

    Examples: It answers 503, and its time is spread by at most 0.3 s
      | kind                | text | script | other    | inside | after |
      | safe                | 2    | refuse | answer   | 1.99   | 2.35  |
      | unsafe              | 0.5  | refuse | answer   | 0.49   | 0.85  |
      | resumable streaming | 0.5  | refuse | events 2 | 0.49   | 0.85  |
      | safe                | 0.1  | refuse | answer   | 0.09   | 0.25  |

    Examples: The time is no valid duration
      | kind                | text | script | other    | inside | after |
      | safe                | -5   | refuse | answer   | 0.99   | 1.35  |
      | safe                | soon | refuse | answer   | 0.99   | 1.35  |

  Scenario Outline: Other statuses hold nothing back
    Given safe requests of up to 2 attempts
    And endpoints that "busy 5 <script>, answer"
    When requests are sent at 0 2 s
    Then e0 receives requests at 0 2 s

    Examples:
      | script |
      | answer |
      | fail   |

  Scenario Outline: What cannot be served elsewhere is rejected at once
    Given safe requests of up to 2 attempts
    And endpoints that "<scripts>"
    When requests are sent at 0 1 s
    Then the last request gets 503 within 0.01 s
    And it is told to return after <least> to <most> s

    Examples: Once the first endpoint has returned, with 0.1 to 0.9 s to spare
      | scripts                        | least | most |
      | busy 3 refuse                 | 2.1   | 2.9  |
      | busy 8 refuse, busy 3 refuse | 2.1   | 2.9  |
      | busy 60 refuse                | 10    | 10   |

  Scenario: After a hold requests return one by one
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "busy 1 refuse, events 2"
    And e0 turns mute at 0.5 s
    When requests are sent at 0 2 2 2 2 2 s
    Then e0 receives requests at 0 2 s

  Scenario Outline: A request that is not sent yet is sent elsewhere
    Given <kind> requests of up to 1 attempts
    And endpoints that "answer, answer"
    And a connection takes 0.3 s
    And e0 <change> at 0.1 s
    When requests are sent at 0 s
    Then e0 receives requests at - s
    And the last request gets 200 within 0.66 s

    Examples:
      | kind   | change                |
      | safe   | announces its shutdown |
      | safe   | is held for 5 s       |
      | unsafe | announces its shutdown |
      | unsafe | is held for 5 s       |

  # It was left out for up to an hour after its start.
  Scenario Outline: A hold is forgotten once its endpoint has started again
    Given safe requests of up to 1 attempts
    And endpoints that "busy 60 refuse"
    And e0 turns answer at 1 s
    And e0 <change> at 7 s
    And the node observes its endpoints at 7.5 s
    When requests are sent at 0 8 s
    Then e0 receives requests at <received> s

    Examples:
      | change       | received |
      | does nothing | 0        |
      | starts again | 0 8      |

  Scenario Outline: Orders and requests for a report obey it too
    Given safe requests of up to 1 attempts
    And endpoints that "answer"
    And e0 <change> at 0.1 s
    When a call for <purpose> is made at 0.2 s
    Then the call is sent: <sent>

    Examples:
      | change                 | purpose   | sent |
      | does nothing           | placement | yes  |
      | announces its shutdown | placement | no   |
      | announces its shutdown | control   | yes  |
      | is held for 5 s        | placement | no   |
      | is held for 5 s        | control   | no   |
      | is held for 0.05 s     | control   | yes  |

  Scenario Outline: An endpoint that replies to a call is obeyed
    Given safe requests of up to 1 attempts
    And endpoints that "<script>, answer"
    When a call for control is made at 0.2 s
    And requests are sent at 0.3 s
    Then e0 receives requests at <received> s

    Examples:
      | script         | received |
      | leaving answer | 0.2      |
      | busy 1 refuse  | 0.2      |
      | answer         | 0.2 0.3  |

  Scenario Outline: A held endpoint is not taken for a lost member
    Given safe requests of up to 1 attempts
    And endpoints that "<script>"
    And e0 <change> at 0.1 s
    When its membership is queried at 0.2 s
    Then the planner receives <count> results

    Examples:
      | script         | change            | count |
      | busy 1 refuse  | does nothing      | 0     |
      | answer         | is held for 5 s   | 0     |
      | unreachable    | does nothing      | 1     |

  Scenario Outline: A request is checked when its connection is established
    Given an endpoint on loopback
    When a request is sent to it whose permit <state> while it connects
    Then it has received something: <received>

    Examples:
      | state  | received |
      | lasts  | yes      |
      | lapses | no       |

  Scenario: The metrics show endpoints that leave or are held
    Given safe requests of up to 2 attempts
    And endpoints that "leaving answer, busy 60 refuse, answer"
    When requests are sent at 0 1 40 s
    Then the metrics say "leaving_endpoints 1.0"
    And the metrics say "longest_leaving_seconds 40.0"
    And the metrics say "held_endpoints{state=held} 1.0"
    And the metrics say "endpoint_notices_total{kind=leaving} 1.0"
    And the metrics say "endpoint_notices_total{kind=retry_after} 1.0"
