Feature: Chat completions API

  Scenario Outline: <what> is refused with status <status>
    When a client sends <method> <path> as "<type>" with body <body>
    Then it gets status <status> and a typed error with outcome not_run

    Examples:
      | what               | method | path                 | type             | body      | status |
      | a wrong path       | POST   | /v1/completion       | application/json | {}        | 404    |
      | a wrong method     | GET    | /v1/chat/completions | application/json | {}        | 405    |
      | a form             | POST   | /v1/chat/completions | text/plain       | {}        | 415    |
      | no JSON            | POST   | /v1/chat/completions | application/json | {"model": | 400    |
      | no messages        | POST   | /v1/chat/completions | application/json | {"model": "escriba"} | 400 |
      | a length of true   | POST   | /v1/chat/completions | application/json | {"model": "escriba", "messages": [{"content": "a"}], "max_tokens": true} | 400 |
      | a body of 9 MB     | POST   | /v1/chat/completions | application/json | large     | 413    |

  Scenario: Services are listed as models
    When a client lists the models
    Then the list has the names of the services

  Scenario Outline: Chunks with <what> are merged into one completion
    When an engine streams <what> to a client that did not request a stream
    Then the client gets <due>
    And the engine request has streaming turned on

    Examples:
      | what              | due                                                |
      | two choices       | the texts of both choices and how each finished    |
      | a tool call       | the whole tool call and no text                    |
      | usage             | the usage that the engine counted                  |

  Scenario: A request that fails before its first event gets a typed error
    When a stream fails before its first event
    Then it gets status 503 and a typed error with outcome not_run
    And it gets a Retry-After header
