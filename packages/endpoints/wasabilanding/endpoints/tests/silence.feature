Feature: Connections that go silent while new connections work

  Scenario Outline: <what>, <times> times, in a stream of <parts> parts
    When <what> <times> times during a stream of <parts> parts
    Then its answer is complete and the request ran once
    And it took at most <bound> s

    Examples:
      | what                              | times | parts | bound |
      | its connection goes silent        | 1     | 300   | 4.0   |
      | its connection goes silent        | 5     | 1000  | 14.0  |
      | its connection breaks             | 5     | 1000  | 9.0   |
      | the domains are cut off for 2 s   | 1     | 600   | 9.0   |
      | silence and cut come together     | 2     | 1200  | 20.0  |

  Scenario Outline: A stream of an engine that takes <step> s per step completes
    Given engines that take <step> s per step
    When a request for 3 parts is sent
    Then its answer is complete and the request ran once

    Examples:
      | step |
      | 5    |
      | 25   |

  Scenario: An attempt fails when new connections are silent as well
    When the engine pauses indefinitely during a stream of 300 parts
    Then its caller gets the verdict "may_have_run" within 9 s
