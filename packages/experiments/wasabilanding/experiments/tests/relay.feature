Feature: The benchmark of the token relay

  Scenario Outline: The <kind> relay delivers every token of 2 streams
    When 2 streams of 50 tokens pass through the <kind> relay
    Then every token arrives and the cost per part is measured

    Examples:
      | kind  |
      | node  |
      | plain |
