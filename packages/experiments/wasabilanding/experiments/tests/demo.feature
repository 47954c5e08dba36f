Feature: Demos with separate processes

  Scenario: The demo keeps every promise
    When the demo runs
    Then it reports no broken promise

  Scenario: The demo of the gateways keeps every promise
    When the demo of the gateways runs
    Then it reports no broken promise
