Feature: Changes through the administration API

  Scenario Outline: Invalid input gets a clear error and changes nothing
    Given a system with profile "draft" at revision 1
    When an operator sends <method> <path> with <body>
    Then the response has status <status> and mentions <named>
    And the configuration of every node is unchanged

    Examples:
      | method | path                                  | body                           | status | named                             |
      | PUT    | /v1/profiles/draft?replaces=1         | {                              | 400    | Invalid JSON                      |
      | PUT    | /v1/profiles/draft?replaces=1         | []                             | 400    | (document)                        |
      | PUT    | /v1/profiles/draft?replaces=1         | profile without kind           | 400    | kind                              |
      | PUT    | /v1/profiles/draft?replaces=1         | profile with colour red        | 400    | colour: 'red'                     |
      | PUT    | /v1/profiles/draft?replaces=1         | profile with model 7           | 400    | model: 7                          |
      | PUT    | /v1/profiles/draft?replaces=1         | profile with vms_per_replica 0 | 400    | vms_per_replica: 0                |
      | PUT    | /v1/profiles/draft?replaces=1         | profile with vms_per_replica 9 | 400    | vms_per_replica: 9 VMs            |
      | PUT    | /v1/profiles/other?replaces=0         | valid profile                  | 400    | 'draft' is not 'other'            |
      | PUT    | /v1/profiles/draft?replaces=0         | valid profile                  | 409    | is at revision 1, not 0           |
      | PUT    | /v1/profiles/draft?replaces=7         | valid profile                  | 409    | is at revision 1, not 7           |
      | PUT    | /v1/profiles/draft?replaces=x         | valid profile                  | 400    | 'x' is not a revision             |
      | PUT    | /v1/profiles/draft?replaces=1         | a body of 2 MB                 | 413    | exceeds                           |
      | POST   | /v1/profiles/draft/rollback/9?replaces=1 | nothing                     | 400    | revision 9 of profile draft       |
      | POST   | /v1/profiles/none/rollback/1?replaces=1  | nothing                     | 400    | profile none does not exist       |
      | POST   | /v1/profiles/draft/rollback/1         | nothing                        | 400    | a revision is needed              |
      | PUT    | /v1/services/escriba                  | {"profile": "none"}            | 400    | profile none does not exist       |
      | PUT    | /v1/services/Bad%20Name               | {"profile": "draft"}           | 400    | Bad Name                          |
      | PUT    | /v1/services/escriba                  | {"profile": "draft", "x": 1}   | 400    | x: 1                              |
      | PUT    | /v1/customers/salon                   | {"weight": -1}                 | 400    | weight: -1                        |
      | GET    | /v1/profiles/none                     | nothing                        | 404    | profile none does not exist       |
      | GET    | /v1/services/none/explanation         | nothing                        | 404    | service none does not exist       |
      | GET    | /v1/nonsense                          | nothing                        | 404    | not found                         |
      | DELETE | /v1/profiles/draft                    | nothing                        | 405    | method is not allowed             |

  Scenario Outline: Of concurrent changes to one revision, one is accepted and the rest conflict
    Given a system with profile "draft" at revision 1
    When <operators> operators replace revision 1 of "draft" concurrently
    Then 1 of them is accepted and <refused> get a conflict
    And every entry VM has the accepted content within 5 seconds

    Examples:
      | operators | refused |
      | 2         | 1       |
      | 6         | 5       |

  Scenario: A write whose response is lost is applied and reported once
    Given a system with profile "draft" at revision 1
    And the store loses the response to the next write
    When an operator replaces revision 1 of "draft"
    Then 1 of them is accepted and 0 get a conflict
    And every entry VM has the accepted content within 5 seconds
    And profile "draft" has 2 revisions

  Scenario: A change during an outage of the store is rejected and changes nothing
    Given a system with profile "draft" at revision 1
    And the store is down
    When an operator sends PUT /v1/profiles/draft?replaces=1 with valid profile
    Then the response has status 503 and mentions unavailable
    And the configuration of every node is unchanged
