Feature: Gateways send a cold endpoint no more than it takes

  Scenario Outline: Endpoints that are cold under load do not crash
    Given an installation of 6 gateways with plain endpoints that take 2 requests a second while cold
    When all plain endpoints <happen> from 2 s on
    And 60 requests a second of kind pages come for 8 s through all gateways
    Then no endpoint has ended as it got too many requests
    And at least <served> of the requests are served

    Examples:
      | happen                  | served |
      | start again, one by one | 0.9    |
      | become cold             | 0.55   |
