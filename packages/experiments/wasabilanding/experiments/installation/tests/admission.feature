Feature: Requests wait at the gateways while all slots are in use

  # Goals of docs/design/hard-load.md: four gateways, six plain endpoints of 4
  # slots and a queue of 8, requests of 1.5 s with a time limit of 6 s. The
  # capacity is that of all slots at the time that a request takes alone, as
  # the machine may be busy.

  Scenario Outline: A large customer does not take the slots of small ones
    Given an installation of 4 gateways with admission control and 6 plain endpoints
    When ten small customers ask for 1.6 requests a second together for 5 s
    And a large customer asks for <large> times the capacity for <seconds> s
    And the small ones ask for as much as before
    Then 0.95 of the small customers' requests or more are served
    And half of their answers take at most 2 times as long as alone
    And refusals take at most 0.1 s, as the median
    And less than 0.01 of the admitted requests are cut
    And endpoints refuse at most 0.2 of the number of requests
    And the goodput is at least 0.95 of the capacity

    Examples:
      | large | seconds |
      | 4     | 20      |
