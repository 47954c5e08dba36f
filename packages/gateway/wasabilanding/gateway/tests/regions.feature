Feature: Requests stay in the regions that their route and customer allow

  Scenario Outline: Endpoints elsewhere are not reached
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And e1 is in failure domain z2
    And the failure domains are in the regions "<regions>"
    And the route allows "<route>" and the customer "<customer>"
    When the customer's request is sent at 0 s
    Then the endpoints reached are "<reached>"
    And the last request gets <status> within 0.1 s

    Examples:
      | regions     | route | customer | reached | status |
      | z1=eu z2=us | -     | -        | e0      | 200    |
      | z1=eu z2=us | us    | -        | e1      | 200    |
      | z1=eu z2=us | -     | us       | e1      | 200    |
      | z1=eu z2=us | eu us | us       | e1      | 200    |
      | z1=eu z2=us | eu    | us       |         | 503    |
      | z1=eu       | us    | -        |         | 503    |

  Scenario Outline: Neither retry, resumption, hedge nor limited endpoint is used
    Given <kind> requests of up to 2 attempts
    And endpoints that "<scripts>"
    And e1 is in failure domain z2
    And the failure domains are in the regions "z1=eu z2=us"
    And the route allows "<route>" and the customer "-"
    When the customer's request is sent at 0 s
    Then the endpoints reached are "<reached>"

    Examples:
      | kind                | scripts                      | route | reached |
      | safe                | refuse, answer               | eu    | e0      |
      | safe                | fail, answer                 | eu    | e0      |
      | safe                | fail, answer                 | eu us | e0 e1   |
      | resumable streaming | reset 2, events 4            | eu    | e0      |
      | resumable streaming | reset 2, events 4            | eu us | e0 e1   |
      | resumable streaming | silent 2, events 4           | eu    | e0      |
      | resumable streaming | silent 2, events 4           | eu us | e0 e1   |
      | safe                | limit 0 refuse, limit 9 answer | eu  | e0      |

  Scenario: If the allowed regions have no endpoint, requests are refused at once
    Given safe requests of up to 2 attempts
    And endpoints that "answer"
    And the failure domains are in the regions "z1=eu z2=us"
    And the route allows "us" and the customer "-"
    When the customer's request is sent at 0 s
    Then the last request gets 503 within 0.01 s
    And it is told to return after 2 to 5 s
    And its answer names the reason "region_unavailable"
    And the metrics say "region_refusals_total{kind=rejected} 1.0"

  Scenario Outline: A request that is not sent yet follows a new configuration
    Given unsafe requests of up to 1 attempts
    And endpoints that "answer, answer"
    And e1 is in failure domain z2
    And the failure domains are in the regions "z1=eu z2=us"
    And the route allows "<before>" and the customer "-"
    And a connection takes 0.3 s
    And the route allows "<after>" and the customer "-" from 0.1 s
    When the customer's request is sent at 0 s
    Then the endpoints reached are "<reached>"
    And the last request gets 200 within 0.66 s

    Examples:
      | before | after | reached |
      | -      | us    | e1      |
      | eu     | us    | e1      |
      | eu     | -     | e0      |

  Scenario: What is held back after a change is counted
    Given safe requests of up to 1 attempts
    And endpoints that "answer"
    And the failure domains are in the regions "z1=eu z2=us"
    And the route allows "eu" and the customer "-"
    And a connection takes 0.3 s
    And the route allows "us" and the customer "-" from 0.1 s
    When the customer's request is sent at 0 s
    Then the endpoints reached are ""
    And the last request gets 503 within 0.31 s
    And the metrics say "region_refusals_total{kind=held_back} 1.0"

  Scenario Outline: A waiting request waits for the slots that it may use
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And e1 is in failure domain z2
    And the failure domains are in the regions "z1=eu z2=us"
    And requests wait for the one slot of each endpoint
    And the route allows "eu" and the customer "-"
    And <change> from 0.2 s
    When the customer's late requests are sent at 0 0.05 s
    Then the endpoints reached are "<reached>"
    And the last request gets <status> within <bound> s

    Examples: The second one waits; the regions or the endpoints change
      | change                                    | reached | status | bound |
      | e9 is lost                                | e0 e0   | 200    | 1.2   |
      | the route allows "us" and the customer "-" | e0 e1  | 200    | 0.8   |
      | the route allows "-" and the customer "-" | e0 e1   | 200    | 0.8   |
      | e0 is lost                                | e0      | 503    | 0.25  |

  # Otherwise unrestricted requests would take each slot that becomes free.
  Scenario: Requests without a restriction leave others their region
    Given safe requests of up to 3 attempts
    And endpoints that "answer, answer, answer"
    And e1 is in failure domain z2
    And the failure domains are in the regions "z1=eu z2=us"
    And requests wait for the one slot of each endpoint
    And the route allows "-" and the customer "eu"
    And the other customer sends 125 late requests, one each 0.095 s
    When the customer sends 125 late requests, one each 0.095 s
    Then the customer gets 62 answers or more, the other one 62 or more

  Scenario Outline: A body is sent to a node only in an allowed or the own region
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And the failure domains are in the regions "<regions>"
    And the nodes "n3" as relays, in place of e1
    And relay n3 is in failure domain z2
    And the node is cut off from the endpoints
    And the route allows "<route>" and the customer "-"
    When the customer's request is sent at 0 s
    Then the endpoints reached are "<reached>"
    And the last request gets <status> within 0.1 s

    Examples:
      | regions     | route | reached | status |
      | z1=eu z2=us | -     | e1      | 200    |
      | z1=eu z2=us | us    | e1      | 200    |
      | z1=eu z2=eu | us    | e1      | 200    |
      | z1=eu z2=us | eu    |         | 503    |
      | z1=eu       | eu    |         | 503    |

  Scenario: A relay is not used if its region is disallowed meanwhile
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And the failure domains are in the regions "z1=eu z2=us"
    And the nodes "n3" as relays, in place of e1
    And relay n3 is in failure domain z2
    And the node is cut off from the endpoints
    And the route allows "us" and the customer "-"
    And a connection takes 0.3 s
    And the route allows "eu" and the customer "-" from 0.1 s
    When the customer's request is sent at 0 s
    Then the endpoints reached are ""
    And its answer names the reason "region_unavailable"

  Scenario: A request that another node hands on is bound too
    Given safe requests of up to 2 attempts
    And endpoints that "answer"
    And the failure domains are in the regions "z1=eu z2=us"
    And the route allows "us" and the customer "-"
    When another node with configuration 1 hands over a request at 0 s
    Then the request at 0 s gets 503 with the verdict "not_run"
    And the endpoints reached are ""

  Scenario: Lists of unknown regions alone are logged once a version
    Given a node that knows the regions "eu us"
    When it observes the versions "1 1 2" with a route that allows "mars"
    And it observes the versions "3" with a route that allows "mars eu"
    Then the log has 2 lines with "route r (mars)"
