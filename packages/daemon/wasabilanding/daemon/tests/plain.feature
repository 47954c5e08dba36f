Feature: Calls to plain services

  Scenario Outline: <method>, <mark>, <fault>: <outcome> after <calls> calls
    When a <mark> <method> call meets "<fault>" at the first address
    Then its outcome is "<outcome>" and the service saw <calls> calls

    Examples:
      | method | mark           | fault               | outcome      | calls |
      | POST   | plain          | nothing             | completed    | 1     |
      | POST   | plain          | refused connections | completed    | 1     |
      | POST   | plain          | break in the send   | may_have_run | 0     |
      | PUT    | plain          | break in the send   | completed    | 1     |
      | POST   | plain          | break after the run | may_have_run | 1     |
      | GET    | plain          | break after the run | completed    | 2     |
      | PUT    | non-idempotent | break after the run | may_have_run | 1     |

  Scenario: The deadline of a plain call holds while its service is slow
    When a call with a deadline of 500 ms meets a slow service
    Then its outcome is "may_have_run" after 500 ms

  Scenario: A customer's limit counts plain calls
    When a customer with a limit of 2 sends 3 plain calls at once
    Then 2 are answered and 1 is told "customer_limit"

  Scenario: Headers of one hop stay there and callers share no cookies
    When a caller is given two cookies and another one calls after it
    Then the first one has both cookies and the second one sent none
    And headers of one hop were not passed on

  Scenario Outline: A node that knows no configuration does not say that a service is unknown
    When a <kind> request comes before any configuration
    Then it is answered <status> and told when to come back

    Examples:
      | kind     | status |
      | plain    | 503    |
      | streamed | 503    |
