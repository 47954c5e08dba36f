Feature: Requests of callers are parsed within bounds

  # 8 MB of empty lists take 180 MB once they are parsed. Commas in texts are
  # no values.
  Scenario Outline: Documents of many values
    When a request of <count> <what> is parsed
    Then it is <outcome>

    Examples:
      | count   | what               | outcome  |
      | 1       | messages           | accepted |
      | 280000  | messages           | accepted |
      | 3000000 | commas in its text | accepted |
      | 500000  | quotes in its text | accepted |
      | 1000000 | empty lists        | refused  |
      | 1100000 | unfinished objects | refused  |
