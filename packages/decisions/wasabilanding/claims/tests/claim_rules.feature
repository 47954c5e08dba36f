Feature: Rules of claims

  Scenario Outline: A repeated submission receives the state of its request
    Given a claim in state <state> with an owner that is <owner>
    When the key is submitted again with <body>
    Then the decision is "<decision>"

    Examples:
      | state                  | owner | body         | decision                              |
      | open                   | live  | its body     | may_have_run, duplicate, come back    |
      | open                   | gone  | its body     | may_have_run, duplicate, final        |
      | released               | live  | its body     | take                                  |
      | released               | gone  | its body     | take                                  |
      | completed, kept        | gone  | its body     | replay                                |
      | completed, not kept    | live  | its body     | completed, duplicate, final           |
      | lost in the middle     | live  | its body     | may_have_run, connection_lost, final  |
      | open                   | live  | another body | not_run, key_reused, final            |
      | released               | live  | another body | not_run, key_reused, final            |
      | completed, kept        | live  | another body | not_run, key_reused, final            |

  Scenario Outline: The fingerprint depends only on the content of the request
    Then the bodies <one> and <other> are <relation>

    Examples:
      | one                     | other                     | relation  |
      | {"a":1,"b":2}           | { "b": 2, "a": 1 }        | the same  |
      | {"a":1}                 | {"a":1,"stream":true}     | the same  |
      | {"a":1}                 | {"a":2}                   | different |
      | not json                | not  json                 | different |

  @fuzz
  Scenario Outline: Writes, losses, pauses and crashes in any order
    Given claims whose rules are <rules>
    When submissions, late writes and losses occur in any order
    Then the search finds <found>

    Examples:
      | rules                             | found                          |
      | whole                             | nothing                        |
      | without compare-and-swap          | a request that ran twice       |
      | without respect for open claims   | a request that ran twice       |
      | without sealing                   | a claim that nobody ever ends  |
