Feature: Forwarding of a request

  Scenario Outline: A failed request is retried elsewhere only if it is safe to do so
    Given <kind> requests of up to <attempts> attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then it gets <status> and <runs> endpoints have run it

    Examples: Plain services
      | kind   | attempts | scripts              | status | runs |
      | safe   | 2        | answer               | 200    | 1    |
      | safe   | 2        | refuse, answer       | 200    | 1    |
      | safe   | 2        | unreachable, answer  | 200    | 1    |
      | safe   | 2        | fail, answer         | 200    | 2    |
      | safe   | 1        | fail, answer         | 500    | 1    |
      | safe   | 2        | fail, fail, answer   | 500    | 2    |
      | safe   | 2        | foreign, answer      | 200    | 1    |
      | unsafe | 1        | answer               | 200    | 1    |
      | unsafe | 2        | refuse, answer       | 200    | 1    |
      | unsafe | 2        | unreachable, answer  | 200    | 1    |
      | unsafe | 2        | fail, answer         | 500    | 1    |
      | unsafe | 2        | foreign, answer      | 502    | 0    |
      | unsafe | 2        | refuse               | 503    | 0    |
      | unsafe | 2        | unreachable          | 503    | 0    |
      | unsafe | 2        | refuse, foreign      | 502    | 0    |
      | safe   | 2        | refuse, refuse, refuse, refuse, answer | 503 | 0 |

  Scenario Outline: A broken stream resumes with no event lost or duplicated
    Given <kind> requests of up to <attempts> attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then its answer is <whole> with events <events>
    And it takes at most <bound> s

    Examples:
      | kind                | attempts | scripts                  | whole  | events | bound |
      | resumable streaming | 2        | events 5                 | whole  | 0-4    | 0.3   |
      | resumable streaming | 2        | reset 2, events 5        | whole  | 0-4    | 0.5   |
      | resumable streaming | 2        | silent 2, events 5       | whole  | 0-4    | 1.2   |
      | resumable streaming | 2        | mute, events 5           | whole  | 0-4    | 1.2   |
      | resumable streaming | 2        | fail, events 5           | whole  | 0-4    | 0.5   |
      | resumable streaming | 3        | reset 2, reset 3, events 5 | whole | 0-4   | 0.8   |
      | resumable streaming | 2        | reset 2, reset 3, events 5 | broken | 0-2  | 0.8   |
      | streaming           | 2        | events 5                 | whole  | 0-4    | 0.3   |
      | streaming           | 2        | refuse, events 5         | whole  | 0-4    | 0.3   |
      | streaming           | 2        | reset 2, events 5        | broken | 0-1    | 0.5   |

  Scenario: An event that arrives at the silence timeout is neither lost nor duplicated
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "late 5, events 5"
    When a request is sent 60 times
    Then all answers are whole with events 0-4

  Scenario Outline: A request that cannot be served is answered at once
    Given <kind> requests of up to 2 attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then it gets <status> and 0 endpoints have run it
    And it takes at most <bound> s
    And its answer has a Retry-After header: <comeback>

    Examples:
      | kind                | scripts                | status | bound | comeback |
      | safe                | refuse, refuse         | 503    | 0.1   | yes      |
      | unsafe              | refuse, refuse         | 503    | 0.1   | yes      |
      | resumable streaming | refuse, refuse         | 503    | 0.1   | yes      |
      | resumable streaming | unreachable            | 503    | 0.1   | yes      |
      | unsafe              | foreign                | 502    | 0.1   | no       |

  Scenario: A request is answered when the route's timeout expires
    Given unsafe requests of up to 1 attempts
    And endpoints that "mute"
    And a route timeout of 0.8 s
    When a request is sent
    Then it gets 504 and 0 endpoints have run it
    And it takes at most 0.85 s

  Scenario Outline: A request is answered when its caller's deadline has passed
    Given unsafe requests of up to 1 attempts
    And endpoints that "mute"
    When a request with a deadline of <deadline> s is sent
    Then it gets 504 and 0 endpoints have run it
    And it takes at most <bound> s

    Examples:
      | deadline | bound |
      | 0        | 0.05  |
      | 0.5      | 0.55  |

  Scenario Outline: A request needs a customer's key that was confirmed recently
    Given requests that need the key "k1"
    When a request with key <key> arrives <age> s after the last confirmation
    Then it gets <status> and <runs> endpoints have run it

    Examples:
      | key  | age | status | runs |
      | k1   | 0   | 200    | 1    |
      | k1   | 4.5 | 200    | 1    |
      | k1   | 4.7 | 503    | 0    |
      | k2   | 0   | 401    | 0    |
      | none | 0   | 401    | 0    |

  Scenario: A node without a configuration rejects requests
    Given a node without a configuration
    When a request is sent
    Then it gets 503 and 0 endpoints have run it
    And its answer has a Retry-After header: yes

  Scenario Outline: An unknown key or route is rejected for good only if the configuration is recent
    Given requests that need the key "k1"
    When a request for an unknown <what> arrives <age> s after the last confirmation
    Then it gets <status> and 0 endpoints have run it

    Examples:
      | what  | age | status |
      | key   | 0   | 401    |
      | key   | 3.5 | 503    |
      | route | 2.9 | 404    |
      | route | 3.5 | 503    |
      | route | 60  | 503    |

  Scenario Outline: Only silent endpoints are reported to other nodes
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then the endpoints reported to other nodes are "<told>"

    Examples:
      | scripts            | told |
      | mute, events 5     | e0   |
      | silent 2, events 5 | e0   |
      | reset 2, events 5  |      |
      | refuse, events 5   |      |

  Scenario Outline: A queued request is retried elsewhere later than one at a dead endpoint
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "mute, events 5"
    And other nodes report progress of the first endpoint every <period> s
    When a request is sent
    Then its answer is whole with events 0-4
    And it takes at least <least> s
    And it takes at most <most> s

    Examples:
      | period | least | most |
      | 0.3    | 1.6   | 2.0  |
      | 5      | 0.6   | 1.0  |

  # The node ended a begun answer 0.6 s after its endpoint's last event, although
  # there was no other endpoint to go on with, and the endpoint would have.
  Scenario Outline: An endpoint's silence alone never ends an answer that has begun
    Given <kind> requests of up to <attempts> attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then its answer is whole with events 0-4
    And it takes at most <bound> s

    Examples:
      | kind                | attempts | scripts                   | bound |
      | resumable streaming | 2        | pause 5                   | 2.5   |
      | resumable streaming | 1        | pause 5, events 5         | 2.5   |
      | streaming           | 2        | pause 5, events 5         | 2.5   |
      | resumable streaming | 2        | pause 5, refuse           | 2.5   |
      | resumable streaming | 2        | pause 5, unreachable      | 2.5   |
      | resumable streaming | 2        | pause 5, mute             | 2.5   |
      | resumable streaming | 2        | pause 5, silent 2         | 2.5   |
      | resumable streaming | 2        | pause 5, reset 2          | 2.5   |
      | resumable streaming | 2        | pause 5, refuse, events 5 | 1.2   |
      | resumable streaming | 2        | reset 2, pause 5          | 3.0   |

  Scenario: A silent stream goes on although the retry budget is spent
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "pause 5, events 5"
    And no retries are allowed
    When a request is sent
    Then its answer is whole with events 0-4

  Scenario: An endpoint is not silent while its events wait for the caller
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "events 4, events 4"
    And a caller that takes 1.8 s to read each part
    When a request is sent
    Then its answer is whole with events 0-3
    And the endpoints reported to other nodes are ""
    And it gets 200 and 1 endpoints have run it

  Scenario: No endpoint is silent because the node itself stood still
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "events 5, events 5"
    And the node stands still from 0.12 s on for 3 s
    When a request is sent 60 times
    Then all answers are whole with events 0-4
    And no endpoint is ever reported to other nodes

  Scenario Outline: A begun stream is not continued by bytes of another kind
    Given resumable streaming requests of up to 3 attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then its answer is <whole> with events <events>

    Examples:
      | scripts                       | whole  | events |
      | reset 2, answer               | broken | 0-1    |
      | reset 2, answer, events 5     | whole  | 0-4    |
      | reset 2, fail, events 5       | whole  | 0-4    |
      | pause 5, answer               | whole  | 0-4    |
      | pause 5, fail                 | whole  | 0-4    |

  # Guards against the text of an error, or events that do not follow, in the
  # middle of a stream, and against an end that looks whole.
  Scenario Outline: A stream goes on where it broke off, or not at all
    Given resumable streaming requests of up to 3 attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then its answer is <whole> with events <events>

    Examples: No other endpoint goes on with it
      | scripts                      | whole  | events |
      | reset 2, failtext            | broken | 0-1    |
      | reset 2, refuse              | broken | 0-1    |
      | reset 2, large               | broken | 0-1    |
      | reset 2, untitled            | broken | 0-1    |
      | reset 2, skip 5              | broken | 0-1    |
      | reset 2, cuthead             | broken | 0-1    |
      | reset 2, foreign             | broken | 0-1    |

    Examples: A third one does
      | scripts                      | whole  | events |
      | reset 2, failtext, events 5  | whole  | 0-4    |
      | reset 2, untitled, events 5  | whole  | 0-4    |
      | reset 2, skip 5, events 5    | whole  | 0-4    |
      | reset 2, cuthead, events 5   | whole  | 0-4    |
      | reset 2, large, events 5     | whole  | 0-4    |
      | reset 2, foreign, events 5   | whole  | 0-4    |

    Examples: It repeats what was sent
      | scripts                      | whole  | events |
      | reset 2, restart 5           | whole  | 0-4    |

    Examples: The first one goes on after a pause
      | scripts                      | whole  | events |
      | pause 5, failtext            | whole  | 0-4    |
      | pause 5, untitled            | whole  | 0-4    |
      | pause 5, skip 5              | whole  | 0-4    |
      | pause 5, large               | whole  | 0-4    |

  Scenario: Numbers of events need not be consecutive
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "spacedreset 2, spaced 5"
    When a request is sent
    Then its answer is whole with the events "0 2 4 6 8"

  Scenario: A stream does not go on with an answer that is no stream
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "cutlarge, events 5"
    When a request is sent
    Then its answer is broken and holds no events

  Scenario Outline: A request ends when it may not be sent again and no endpoint responds
    Given resumable streaming requests of up to <attempts> attempts
    And endpoints that "<scripts>"
    And a route timeout of 5 s
    And other nodes report progress of the first endpoint every <period> s
    When a request is sent
    Then it gets <status>
    And it takes at least <least> s
    And it takes at most <most> s

    Examples: It has been sent to four unresponsive endpoints
      | attempts | scripts                | period | status | least | most |
      | 2        | dark, dark, dark, dark | 10     | 502    | 2.3   | 2.7  |

    Examples: As many as may run it accept connections, and do not respond
      | attempts | scripts                | period | status | least | most |
      | 2        | mute, mute, mute, mute | 10     | 502    | 1.2   | 1.4  |

    Examples: The first endpoint may have it in its queue
      | attempts | scripts                | period | status | least | most |
      | 1        | mute, events 5         | 0.3    | 504    | 5     | 5.1  |
      | 2        | mute, dark, events 5   | 0.3    | 200    | 2.2   | 3.0  |
      | 2        | mute, mute, events 5   | 0.3    | 504    | 5     | 5.1  |

    Examples: With no other endpoint, the silent one may still go on
      | attempts | scripts                | period | status | least | most |
      | 2        | mute                   | 10     | 504    | 5     | 5.1  |

  Scenario Outline: A request in the queue of a busy endpoint keeps its place
    Given resumable streaming requests of up to <attempts> attempts
    And endpoints that "<scripts>"
    And other nodes report progress of the first endpoint every 0.3 s
    When a request is sent
    Then its answer is whole with events 0-4

    Examples:
      | attempts | scripts               |
      | 1        | queued 5              |
      | 1        | queued 5, events 5    |
      | 2        | queued 5, refuse      |
      | 2        | queued 5, queued 5    |
      | 2        | queued 5, fail        |
      | 3        | queued 5, unreachable |

  Scenario Outline: "Not run" is not said of a request that a replaced attempt may have run
    Given resumable streaming requests of up to 1 attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then it gets 502

    Examples:
      | scripts               |
      | clinging, unreachable |
      | clinging, refuse      |

  # The check for silence was not made again after a write that it fell into.
  Scenario Outline: A silent endpoint is replaced also after a slow write
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "silent 2, events 5"
    And a caller that takes <read> s to read each part
    When a request is sent
    Then its answer is whole with events 0-4

    Examples:
      | read |
      | 0    |
      | 0.5  |
      | 0.7  |
      | 1.0  |

  Scenario: An endpoint that has replied in full is not silent while the caller reads
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "answer, answer"
    And a caller that takes 1.8 s to read each part
    When a request is sent
    Then the endpoints reported to other nodes are ""
    And it gets 200 and 1 endpoints have run it

  Scenario: A comment of a second endpoint does not take over the answer
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "pause 5, comment"
    When a request is sent
    Then its answer is whole with events 0-4

  Scenario: The attempt that another one replaces ends at once
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "silent 2, events 9"
    When a request is sent
    Then its answer is whole with events 0-8
    And the request to e0 ends 0.2 s or more before the answer

  Scenario: A replaced attempt that may have run counts as a run
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "queued 5, reset 2, events 5"
    And other nodes report progress of the first endpoint every 0.3 s
    When a request is sent
    Then its answer is broken with events 0-1

  Scenario: An endpoint whose events wait for the caller is not avoided
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "events 4, events 4"
    And a caller that takes 1.8 s to read each part
    And the silent endpoints are looked up at 1 s
    When a request is sent
    Then no endpoint was silent

  # The task that is told of a close may run after the one that sends.
  Scenario Outline: Nothing is sent for a caller that has closed
    Given <kind> requests of up to 3 attempts
    And endpoints that "<scripts>" and are connected to in <connect> s
    When a request is sent whose caller closes after <closes> s
    Then <arrivals> endpoints have got it
    And the request ends within <ends> s without an answer

    Examples: First attempts, while connecting, retries, resumptions, second copies
      | kind                | scripts              | connect | closes | arrivals | ends |
      | safe                | answer, answer       | 0       | 0      | 0        | 0.1  |
      | unsafe              | answer, answer       | 0       | 0      | 0        | 0.1  |
      | safe                | answer, answer       | 0.1     | 0.05   | 0        | 0.2  |
      | safe                | refuse, answer       | 0.1     | 0.15   | 1        | 0.3  |
      | safe                | fail, answer         | 0.1     | 0.15   | 1        | 0.3  |
      | resumable streaming | reset 2, events 8    | 0.1     | 0.25   | 1        | 0.4  |
      | resumable streaming | silent 2, events 8   | 0.1     | 0.25   | 1        | 1.0  |
      | resumable streaming | mute, events 8       | 0.1     | 0.25   | 1        | 2.0  |

  # An attempt at a silent endpoint ended to make room for another one, and was
  # not counted: each endpoint that hung was one more run.
  Scenario Outline: A request runs on no more endpoints than its route allows
    Given resumable streaming requests of up to <attempts> attempts
    And endpoints that "<scripts>"
    When a request is sent
    Then it gets <status>, whole or not, and <runs> endpoints have run it
    And its caller got events <events>

    Examples: Endpoints that run it and hang, that are dark, and that break off
      | attempts | scripts                              | status | runs | events |
      | 1        | hang, events 5                       | 502    | 1    | none   |
      | 2        | hang, hang, events 5                 | 502    | 2    | none   |
      | 3        | hang, hang, events 5                 | 200    | 3    | 0-4    |
      | 2        | silent 2, hang, events 5             | 200    | 2    | 0-1    |
      | 2        | hang, reset 2, events 5              | 200    | 2    | 0-1    |
      | 3        | hang, reset 2, events 5              | 200    | 3    | 0-4    |
      | 1        | dark, events 5                       | 200    | 1    | 0-4    |
      | 2        | dark, dark, events 5                 | 200    | 1    | 0-4    |
      | 2        | hang, dark, events 5                 | 200    | 2    | 0-4    |
      | 2        | dark, hang, events 5                 | 200    | 2    | 0-4    |
      | 2        | silent 2, dark, events 5             | 200    | 2    | 0-4    |
