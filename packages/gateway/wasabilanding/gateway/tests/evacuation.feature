Feature: No request reaches an evacuated failure domain

  Scenario Outline: A view follows the keys of the store, its own or a collector's
    Given a view of era 2 at revision 100 with evacuations "<before>"
    When it receives the evacuation <source> "<changes>" of era <era> at revision <at>
    Then it knows the evacuations "<after>"

    Examples: Listings are complete, changes and segments are not
      | before | source  | changes | era | at  | after |
      | -      | listing | z1 z2   | 2   | 101 | z1 z2 |
      | z1     | listing | z2      | 2   | 101 | z2    |
      | z1     | listing | -       | 2   | 99  | z1    |
      | z1     | changes | +z2     | 2   | 101 | z1 z2 |
      | z1 z2  | changes | -z1     | 2   | 101 | z2    |
      | z1     | segment | +z2     | 2   | 101 | z1 z2 |
      | z1 z2  | segment | -z1     | 2   | 101 | z2    |
      | z1     | segment | -z1     | 1   | 900 | z1    |

    Examples: Keys that name no failure domain are passed over
      | before | source  | changes | era | at  | after |
      | -      | listing | z1 / z2/x | 2 | 101 | z1    |
      | -      | changes | +z1 +z2/x | 2 | 101 | z1    |

    Examples: A restored store that lacks the key, or has one that was removed
      | before | source  | changes | era | at  | after |
      | z1     | listing | -       | 3   | 90  | z1    |
      | -      | listing | z1      | 3   | 90  | z1    |

  Scenario: What a collector has seen reaches a node that follows it
    Given a view of era 2 at revision 100 with evacuations "z1"
    And another view that follows it
    When it receives the evacuation changes "+z2" of era 2 at revision 101
    And it receives the evacuation changes "-z1 -z2 +z3" of era 2 at revision 102
    Then the other view knows the evacuations "z3"

  # Such a collector does not know evacuations, so that its changes of the
  # store lack them; the view that follows reads the store itself.
  Scenario: What a collector of the previous build has seen is not followed
    Given a view of era 2 at revision 100 with evacuations "z1"
    And another view that follows it, as a collector of the previous build
    When it receives the evacuation changes "+z2" of era 2 at revision 101
    Then the other view knows the evacuations "z1"
    And the other view is at revision 100

  Scenario: A node is ready only when it knows the evacuations
    Given a view that has not read the store
    Then it is not initialized
    When it receives the evacuation listing "z1" of era 2 at revision 100
    Then it is initialized and knows the evacuations "z1"

  Scenario: Each change and each malformed key is logged once
    Given a view of era 2 at revision 100 with evacuations "-"
    When it receives the evacuation listing "z1 z9 z2/x" of era 2 at revision 101
    And it receives the evacuation listing "z1 z9 z2/x" of era 2 at revision 102
    And it receives the evacuation changes "-z1" of era 2 at revision 103
    Then the log has 1 lines with "failure domain z1 begins: 1 endpoints"
    And the log has 1 lines with "failure domain z9 begins: no endpoint"
    And the log has 1 lines with "failure domain z1 ends"
    And the log has 1 lines with "z2/x names no failure domain"

  Scenario: Requests go elsewhere until the evacuation is taken back
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And e1 is in failure domain z2
    And z1 is evacuated from 0.1 s to 1 s
    When requests are sent at 0 0.2 0.9 1.1 s
    Then e0 receives requests at 0 1.1 s
    And the endpoints reached are "e0 e1 e1 e0"

  Scenario Outline: Neither retry, resumption, hedge nor limited endpoint is used
    Given <kind> requests of up to 2 attempts
    And endpoints that "<scripts>"
    And e1 is in failure domain z2
    And z2 is evacuated from 0.1 s to 9 s
    When requests are sent at 0.2 s
    Then the endpoints reached are "e0"

    Examples:
      | kind                | scripts               |
      | safe                | refuse, answer        |
      | safe                | fail, answer          |
      | safe                | unreachable, answer   |
      | resumable streaming | reset 2, events 4     |
      | resumable streaming | silent 2, events 4    |
      | resumable streaming | busy 5 refuse, events 4 |
      | safe                | limit 0 refuse, limit 9 answer |

  Scenario Outline: A request that is not sent yet is sent elsewhere
    Given <kind> requests of up to 1 attempts
    And endpoints that "answer, answer"
    And e1 is in failure domain z2
    And a connection takes 0.3 s
    And z1 is evacuated from 0.1 s to 9 s
    When requests are sent at 0 s
    Then the endpoints reached are "e1"
    And the last request gets 200 within 0.66 s
    And the metrics say "evacuation_refusals_total{kind=held_back} 1.0"

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  Scenario: An answer that has begun ends normally
    Given resumable streaming requests of up to 2 attempts
    And endpoints that "events 40, events 40"
    And e1 is in failure domain z2
    And z1 is evacuated from 0.5 s to 9 s
    When requests are sent at 0 s
    Then the answer to the first is whole
    And the endpoints reached are "e0"

  Scenario Outline: Orders and requests for a report are still sent
    Given safe requests of up to 1 attempts
    And endpoints that "answer"
    And z1 is evacuated from 0.1 s to 9 s
    When a call for <purpose> is made at 0.2 s
    Then the call is sent: yes

    Examples:
      | purpose   |
      | placement |
      | control   |

  Scenario: If no other failure domain is left, requests are rejected at once
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer"
    And e1 is in failure domain z2
    And z1 is evacuated from 0.1 s to 9 s
    And z2 is evacuated from 0.1 s to 9 s
    When requests are sent at 0.2 s
    Then the last request gets 503 within 0.01 s
    And it is told to return after 2 to 5 s
    And its answer names the reason "evacuated"
    And the metrics say "evacuation_refusals_total{kind=rejected} 1.0"

  Scenario: An evacuation of a failure domain without endpoints changes nothing
    Given safe requests of up to 2 attempts
    And endpoints that "answer"
    And z9 is evacuated from 0.1 s to 9 s
    When requests are sent at 0.2 s
    Then the endpoints reached are "e0"

  Scenario: A request that another node hands on is bound too
    Given safe requests of up to 2 attempts
    And endpoints that "answer"
    And z1 is evacuated from 0.1 s to 9 s
    When another node with configuration 1 hands over a request at 0.2 s
    Then the request at 0.2 s gets 503 with the verdict "not_run"
    And the endpoints reached are ""

  Scenario Outline: A node that is cut off asks nodes of evacuated failure domains last
    Given safe requests of up to 2 attempts
    And endpoints that "answer, answer, answer"
    And the nodes "n2 n3" as relays, in place of e1 and e2
    And relay n3 is in failure domain z2
    And the node is cut off from the endpoints
    And <name> is evacuated from 0.1 s to 9 s
    When requests are sent at 0.2 s
    Then the endpoints reached are "<reached>"

    Examples:
      | name | reached |
      | z1   | e2      |
      | z2   | e1      |
      | z9   | e1      |

  Scenario: The operators are told once that a service has no endpoint left
    Given safe requests of up to 2 attempts
    And endpoints that "answer"
    And z1 is evacuated from 0.1 s to 4 s
    And z9 is evacuated from 0.1 s to 9 s
    When the node observes its evacuations at 0 1 2 5 6 s
    Then the log has 1 lines with "requests for service are rejected"
    And the log has 1 lines with "requests for service are no longer rejected"
    And the metrics say "evacuated_failure_domains 1.0"

  Scenario Outline: Nodes without the store learn of evacuations and their ends
    Given 3 nodes in each of 3 failure domains, each with a request in flight
    When z0-000 learns of the evacuation changes "<changes>"
    And they exchange hints for <seconds> s
    Then each node knows the evacuations "<known>"

    Examples:
      | changes | seconds | known |
      | +z1     | 0.5     | z1    |
      | +z1 -z1 +z2 | 0.5 | z2    |

  Scenario: Collectors pass evacuations on
    Given 12 nodes in each of 3 failure domains, each with a request in flight
    When z0-005 learns of the evacuation changes "+z1"
    And they exchange hints for 1.5 s
    Then each node knows the evacuations "z1"

  Scenario: A node that missed the end is told again
    Given nodes n1 and n2 in failure domain z1 and n3 in z2
    When n1 learns of the evacuation changes "+z1 -z1"
    And the nodes exchange hints for 12 s
    And n3 learns of the evacuation changes "+z1"
    And they exchange hints for 1 s
    Then each node knows the evacuations "-"

  Scenario Outline: Without evacuations datagrams do not mention them
    Given nodes n1 and n2 in failure domain z1 and n3 in z2
    When n1 learns of the evacuation changes "<changes>"
    And they exchange hints for <seconds> s
    Then a datagram mentions evacuations: <mentioned>

    Examples:
      | changes | seconds | mentioned |
      | -z1     | 0.1     | no        |
      | +z1     | 0.1     | yes       |
      | +z1 -z1 | 0.1     | yes       |

  Scenario: Fields that a node does not know are ignored
    Given nodes n1 and n2 in failure domain z1 and n3 in z2
    And node n1 saw progress of endpoint e2 0.1 s ago
    And node n2 receives the datagram {"sender": "n9", "later": [{"a": 1}], "hints": [{"node": "n9", "later": 1, "in_flight": {"e1": 3}, "worked_ago_s": {"e1": 0.1}}]}
    When node n1 reports e1 as silent
    Then the nodes that consider e1 silent are "n1"
