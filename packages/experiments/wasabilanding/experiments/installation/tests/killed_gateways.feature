Feature: What gateways know of crashing requests outlives them

  # Gateways once kept what they knew of such a request in memory only, so that
  # it ended endpoints again whenever all of them had been replaced.
  Scenario Outline: It ends no further endpoints once all gateways have been killed
    Given an installation with three plain endpoints a failure domain
    When 1 requests that end endpoints, of kind <kind>, come <pattern> for 16 s beside other requests
    Then each ends at most 3 endpoints
    And at least 0.6 of the other requests of the route are served

    Examples:
      | kind   | pattern                       |
      | pages  | while all gateways are killed |
      | drafts | while all gateways are killed |
