Feature: A short soak of real processes

  Scenario Outline: Promises are kept
    When seed <seed> of the soak with <changes> runs for <seconds> s
    Then at least <answers> requests were answered with 200
    And nothing is broken

    Examples:
      | seed | changes              | seconds | answers |
      | 1    | planned changes only | 6       | 50      |
      | 1    | faults               | 6       | 50      |

  Scenario Outline: A link does what it is told
    Given an echo server behind a proxy
    When a message is sent while the link is in mode <mode>
    Then what comes back is "<result>"

    Examples:
      | mode     | result  |
      | pass     | echo    |
      | delay    | echo    |
      | reset    | reset   |
      | silent   | nothing |
      | cut up   | nothing |
      | cut down | nothing |

  Scenario: What was held goes on when the link is mended
    Given an echo server behind a proxy
    When a message is sent over a silent link that is mended 0.3 s later
    Then what comes back is "echo"
