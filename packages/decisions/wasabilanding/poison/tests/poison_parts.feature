Feature: Protection against parts of prompts that crash endpoints

  # "2!ab" is a crash at 2 s of an endpoint that had been sent a request with
  # the parts a and b 0.4 s before; "2!ab#x" had request x in flight; "2+a" is
  # a request with part a that is sent at 2 s and answered.
  Scenario Outline: Crashes and answers determine which parts are refused
    Given requests with "<known>" were answered before
    When these events are known: <events>
    Then at <now> s the condemned parts are "<refused>"

    Examples: New parts
      | events                      | known | now | refused |
      | 0!ab 1!ac 2!ad              |       | 3   | a       |
      | 0!ab 1!ac                   |       | 3   |         |
      | 0!ab 0.5!ac 1!ad            |       | 1.9 |         |
      | 0!ab 0.5!ac 1!ad            |       | 2.1 | a       |
      | 0!ab 1!ab 2!ab              |       | 3   | ab      |
      | 0!ab 1!ab 2!ab 2.5+a        |       | 3   | b       |
      | 0!ab 1!ab 2!ab 1.5+a        |       | 3   | b       |
      | 0!ab 1!ab 2!ab 1.5+ab       |       | 3   |         |
      | 0!ab#x 1!ab#x 2!ab#x        |       | 3   |         |
      | 0!ab#x 1!ab#x 2!ab#y        |       | 3   | ab      |
      | 0!a 0.1!a 0.2!a 0.3!a       |       | 3   |         |
      | 0!a 0!a 0!a 0.5!a 0.5!a     |       | 4   | a       |
      | 0!a 0!a 0!a 0.5!a           |       | 4   |         |
      | 0!a 0!a 0!a 0.1!a 0.1!a     |       | 4   |         |
      | 0!ab 1!ac 2!ad              |       | 599 | a       |
      | 0!ab 1!ac 2!ad              |       | 601 |         |

    Examples: A part that sound requests share
      | events                                      | known | now | refused |
      | 0!fa 1!fa 2!fa                              | f     | 3   | a       |
      | 0!fa 0.5!fa 1!fa 1.5!fa 2!fa 2.5!fa         | f     | 3   | a       |
      | 0!fa 0.5!fa 1!fa 1.5!fa 2!fa 2.5!fc         | f     | 3   | a       |
      | 0!fa 0.5!fb 1!fa 1.5!fb 2!fa 2.5!fb         | f     | 3   | ab      |
      | 0!fab 1!fab 2!fab                           | f     | 3   | ab      |
      | 0!fa 1!fb 2!fc 3!fd                         | f     | 9   |         |
      | 0!fa 1!fb 2!fc 3!fd 4!fe                    | f     | 9   | f       |
      | 0!fa 1!fb 2!fc 3!fd 3.5+f 4!fe 4.5+f        | f     | 9   |         |

  Scenario Outline: A request is refused if it has all parts that came together
    Given requests with "<known>" were answered before
    When these events are known: <events>
    Then at 4 s a request with "<parts>" is <verdict>

    Examples:
      | events                       | known | parts | verdict |
      | 0!fab 1!fab 2!fab            |       | fab   | refused |
      | 0!fab 1!fab 2!fab            |       | fb    | run     |
      | 0!fab 1!fab 2!fab            |       | fa    | run     |
      | 0!fab 1!fab 2!fab 2.5+fb     |       | ac    | refused |
      | 0!fab 1!fac 2!fad            |       | fa    | refused |
      | 0!fab 1!fac 2!fad            |       | ga    | run     |
      | 0!fab 1!fac 2!fad 2.5!ga     |       | ga    | refused |
      | 0!fab 1!fac 2!fad 2.5+f      |       | ga    | refused |
      | 0!fa 1!fa 2!fa               | f     | fb    | run     |

  Scenario Outline: Many endpoints that crash at once condemn no part
    Given requests with "<known>" were answered before
    When <count> endpoints crash <times> times within 1 s, each under 6 requests with part f and others
    Then at 9 s the condemned parts are ""

    Examples:
      | known | count | times |
      | f     | 60    | 1     |
      |       | 60    | 1     |
      | f     | 60    | 3     |

  Scenario: Reports of several nodes on one crash add up
    Given requests with "" were answered before
    When these events are known: 0!fa 1!fa 2!fa
    And another node had a request with "f" in flight at each crash
    Then at 4 s a request with "f" is run
    And at 4 s a request with "fa" is refused

  Scenario: Reports in any order lead to the same decision
    Given requests with "f" were answered before
    When these events are known in any order: 0!fa 0.5!fb 1!fa 1.5!fb 2!fa 2.5!fb 2.6+f
    Then at 4 s the condemned parts are "ab"
