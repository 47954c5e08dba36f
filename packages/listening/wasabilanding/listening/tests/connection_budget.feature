Feature: The connections of a listener are bounded

  # Connections that send nothing took all descriptors, and ordinary callers
  # could not connect.
  Scenario Outline: A connection that costs much for little is closed for a new one
    Given a listener of 4 connections
    When <before>, and another caller sends a request
    Then the other caller gets 200
    And <closed> connections were closed for another one
    And at most 4 connections are open
    And the log has <lines> lines on closed connections and none on errors

    Examples:
      | before                                           | closed | lines |
      | 3 callers send nothing for 0.6 s                 | 0      | 0     |
      | 12 callers send nothing for 0.6 s                | 9      | 1     |
      | 4 callers send half a head for 1.2 s             | 1      | 1     |
      | 4 callers send half a body for 1.2 s             | 1      | 1     |
      | 4 callers are idle behind an answer              | 1      | 1     |
      | 4 callers send nothing and 4 others half a head  | 5      | 1     |

  # A request that is complete is being run.
  Scenario: Connections with complete requests are kept
    Given a listener of 4 connections
    When 4 callers wait for their answers, and another caller sends a request
    Then the other caller gets no answer
    And all 4 callers get 200

  # `headerTimeoutMs` was read and used nowhere.
  Scenario: A head that does not end is refused
    Given a listener of 4 connections whose heads must arrive within 0.5 s
    When a caller sends half a head and waits
    Then it gets 408 after 0.9 s to 2 s

  # The parser takes milliseconds and a megabyte for thousands of lines. A
  # request behind another one is parsed without a further read.
  Scenario Outline: Requests of many lines are read one at a time
    Given a listener with 1 place for many lines, heads within 1.5 s
    When 4 callers send heads of 500 lines <where> and one an ordinary request
    Then at most 1 of the requests of many lines was handled at a time
    And each of them got 200 or 503
    And the ordinary request got 200

    Examples:
      | where                  |
      | alone                  |
      | behind another request |
