Feature: The benchmark of the token relay

  Scenario Outline: The <kind> relay delivers every token of 2 streams
    When 2 streams of 50 tokens pass through the <kind> relay
    Then every token arrives and its cost is known

    Examples:
      | kind  |
      | node  |
      | plain |
