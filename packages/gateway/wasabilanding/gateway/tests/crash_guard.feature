Feature: Requests that end endpoints are turned away

  Scenario Outline: Only an endpoint that has ended counts
    Given <kind> requests of up to 2 attempts
    And endpoints that "<script>, <other>"
    When requests for "/a" are sent at 0 s
    Then <count> requests are suspected

    Examples: It ends, or breaks the connection and lives
      | kind                | script   | other    | count |
      | unsafe              | crash    | answer   | 1     |
      | resumable streaming | reset 2  | events 4 | 0     |
      | resumable streaming | reset 0  | events 4 | 0     |
      | safe                | fail     | answer   | 0     |
      | safe                | foreign  | answer   | 0     |
      | safe                | refuse   | answer   | 0     |

    Examples: The request is cleared, since another endpoint answers it
      | kind                | script   | other    | count |
      | safe                | crash    | answer   | 0     |
      | resumable streaming | crash    | events 4 | 0     |

  Scenario Outline: An endpoint that was leaving has not crashed
    Given unsafe requests of up to 1 attempts
    And endpoints that "crash, answer"
    And e0 <change> at 0.01 s
    When requests for "/a" are sent at 0 s
    Then <count> requests are suspected

    Examples:
      | change                 | count |
      | does nothing           | 1     |
      | announces its shutdown | 0     |

  Scenario Outline: An endpoint that breaks a connection and is gone soon has ended
    Given unsafe requests of up to 1 attempts
    And endpoints that "foreign, answer"
    And e0 <change> at <at> s
    And the node looks after broken connections for <at> s
    When requests for "/a" are sent at 0 s
    Then <count> requests are suspected

    Examples:
      | change                          | at | count |
      | does nothing                    | 2  | 0     |
      | starts again                    | 2  | 1     |
      | starts again                    | 8  | 0     |
      | is removed, and lives           | 2  | 0     |
      | is removed, and is dead         | 2  | 1     |

  Scenario Outline: A request ends two endpoints at most
    Given <kind> requests of up to <attempts> attempts
    And endpoints that "answer, answer, answer, answer, answer, answer"
    And requests for "/crash" end endpoints
    And a request for "/other" with body "body" is sent at 5 s
    And a request for "/crash" with body "another" is sent at 6 s
    When requests for "/crash" are sent at 0 1 2 3 4 s
    Then 2 endpoints have ended under "/crash" with body "body"
    And the request at 4 s gets 503 "poisoned" within 0.01 s, to return in 590 to 600 s
    And the request at 5 s gets 200
    And the request at 6 s gets 502

    Examples:
      | kind                | attempts |
      | safe                | 1        |
      | safe                | 4        |
      | unsafe              | 1        |
      | resumable streaming | 3        |

  Scenario: Submissions at the same time share their fate
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer, answer, answer, answer, answer"
    And requests for "/crash" end endpoints
    When requests for "/crash" are sent at 0 0 0 0 1 1 s
    Then 2 endpoints have ended under "/crash" with body "body"

  Scenario: A suspicion expires
    Given safe requests of up to 1 attempts
    And endpoints that "answer, answer, answer, answer"
    And requests for "/crash" end endpoints
    When requests for "/crash" are sent at 0 1 2 610 s
    Then 3 endpoints have ended under "/crash" with body "body"

  # The connection to e0 breaks 0.05 s after the request for "/crash" was sent.
  # Progress of the next start once withdrew the end of the previous one, and a
  # part of a prompt ended five endpoints more.
  Scenario Outline: Only a request from before its presumed end shows that an endpoint goes on
    Given unsafe requests of up to 1 attempts
    And endpoints that "pause 4"
    And requests for "/crash" end endpoints
    And a connection takes <connect> s
    And e0 <change>
    And a request for "/a" with body "body" is sent at <sent> s
    And the node looks after broken connections for 5 s
    When requests for "/crash" are sent at 1 s
    Then <count> requests are suspected

    Examples: It was unreachable for a moment
      | sent | connect | change                            | count |
      | 0    | 0       | turns pause 4 at 1.1 s            | 0     |
      | 0    | 0       | turns pause 4 at 8 s              | 0     |

    Examples: Its registration is removed or replaced before the progress
      | sent | connect | change                            | count |
      | 0    | 0       | is removed, and is dead at 1.2 s  | 1     |
      | 0    | 0       | starts again at 1.2 s             | 1     |

    Examples: The next start accepts a connection before it is registered
      | sent | connect | change                            | count |
      | 1.2  | 0       | turns pause 4 at 1.1 s            | 1     |
      | 1.2  | 0.4     | turns pause 4 at 1.5 s            | 1     |

    Examples: Another node reports progress, of whichever start
      | sent | connect | change                            | count |
      | 9    | 0       | makes progress at 2 s             | 1     |

  Scenario Outline: A request to the next start is suspected only if this one ends too
    Given unsafe requests of up to 1 attempts
    And endpoints that "answer"
    And requests for "/crash" end endpoints
    And e0 turns <script> at 1.1 s
    And a request for "/a" with body "body" is sent at 1.2 s
    And the node looks after broken connections for 5 s
    When requests for "/crash" are sent at 1 s
    Then <count> requests are suspected

    Examples:
      | script  | count |
      | foreign | 1     |
      | crash   | 2     |

  Scenario Outline: Requests with a part that ends endpoints are turned away
    Given <kind> requests of up to <attempts> attempts
    And endpoints that "answer, answer, answer, answer, answer, answer, answer, answer"
    And part "dead" of a prompt ends endpoints
    And requests with parts "a0:4,b1:4,c2:1" are sent at 0.5 1.5 4.5 s
    When requests with parts "<parts>" are sent at 0 1 2 3 4 s
    Then <ended> endpoints have ended
    And the request at 4 s gets 503 "poisoned" within 0.01 s, to return in 590 to 600 s
    And the request at 0.5 s gets 200
    And the request at 4.5 s gets 200

    Examples:
      | kind                | attempts | parts                           | ended |
      | safe                | 2        | a0:4,dead:9,b1:4,c3:1           | 4     |
      | safe                | 4        | a0:4,b1:4,dead:9,c3:1           | 4     |
      | safe                | 2        | dead:9,a0:4,c3:1                | 4     |
      | unsafe              | 1        | a0:4,DEAD:9,dead:9,b1:4,c3:1    | 3     |
      | resumable streaming | 3        | a0:4, dead:9 ,b1:4,c3:1         | 4     |

  Scenario Outline: Parts that cannot be read are passed on and guard nothing
    Given unsafe requests of up to 1 attempts
    And endpoints that "answer, answer, answer, answer, answer, answer, answer, answer"
    And part "dead" of a prompt ends endpoints
    When requests with parts "<parts>" are sent at 0 1 2 3 4 s
    Then 5 endpoints have ended

    Examples: No hexadecimal, no number, only one part, an empty one
      | parts                |
      | a0:4,dead:9,b1:4,x:1 |
      | a0:4,dead:x,b1:4     |
      | dead:9               |
      | a0:4,dead:9,,b1:4    |

  Scenario Outline: An answer that ends with its connection is whole if its endpoint lives
    Given <kind> requests of up to 2 attempts
    And endpoints that "<script>, events 4"
    And e0 <change> at 0.01 s
    When requests with parts "a0:4,b1:4,c2:1" are sent at 0 s
    Then the request at 0 s gets 200
    And its answer has <events> events and <end>
    And <count> requests are suspected

    Examples:
      | kind                | script    | change                 | events | end         | count |
      | resumable streaming | closing 4 | does nothing           | 4      | is complete | 0     |
      | resumable streaming | dying 4   | does nothing           | 4      | is complete | 0     |
      | resumable streaming | dying 2   | does nothing           | 4      | is complete | 0     |
      | streaming           | closing 4 | does nothing           | 4      | is complete | 0     |
      | streaming           | dying 2   | does nothing           | 2      | breaks off  | 1     |
      | streaming           | dying 4   | announces its shutdown | 4      | is complete | 0     |

  Scenario Outline: A part that was good is tried again by one request
    Given safe requests of up to 1 attempts
    And endpoints that "answer, answer, answer, answer, answer, answer, answer, answer, answer"
    And requests with parts "a0:4,b1:4,c0:1" are sent at 0 s
    And part "b1" of a prompt ends endpoints from 0.5 s to <mended> s
    When requests with parts "a0:4,b1:4,c1:1" are sent at 1 2 3 4 5 6 14 16 17 18 s
    Then <ended> endpoints have ended
    And the request at 6 s gets 503
    And the request at 14 s gets 503
    And the request at 16 s gets <trial>
    And the request at 18 s gets <later>

    Examples:
      | mended | ended | trial | later |
      | 10     | 5     | 200   | 200   |
      | 99     | 6     | 502   | 503   |
