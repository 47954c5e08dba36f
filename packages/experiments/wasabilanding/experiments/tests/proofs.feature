Feature: The catalogue of proofs

  Scenario: Every proof names a scenario that exists
    When the catalogue of proofs is read
    Then every scenario is found in its feature file

  Scenario: The committed page matches the catalogue
    When the page of proofs is rendered
    Then it equals docs/PROOFS.md
