Feature: The list of what is proved

  Scenario: Every proof names a scenario that exists
    When the catalogue of proofs is read
    Then every scenario is found in its feature file

  Scenario: The page says what the catalogue says
    When the page of proofs is made anew
    Then it equals docs/PROOFS.md
