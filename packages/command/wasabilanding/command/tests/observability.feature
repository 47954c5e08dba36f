Feature: Traces, logs, metrics and health of a running entry VM

  Scenario Outline: Each hop of a request has a span in the caller's trace
    Given a running system with profile "draft" at revision 1
    When a caller sends a request <kind> with trace <trace>
    Then the spans <spans> are in trace <trace>, each a child of the previous

    Examples:
      | kind           | trace                            | spans                 |
      | plainly        | 4bf92f3577b34da6a3ce929d0e0e4736 | request attempt       |
      | non-idempotent | 4bf92f3577b34da6a3ce929d0e0e4737 | request claim         |

  Scenario: Log lines identify the request
    Given a running system with profile "draft" at revision 1
    When a caller sends a request plainly with trace 4bf92f3577b34da6a3ce929d0e0e4738
    Then a JSON log line has node, failure domain, request, service and customer

  Scenario Outline: Health checks and metrics are served
    Given a running system with profile "draft" at revision 1
    When <path> is read from the <port> port
    Then it answers 200 with <text>

    Examples:
      | path     | port           | text                           |
      | /healthz | callers        | live                           |
      | /readyz  | callers        | ready                          |
      | /metrics | administration | wasabilanding_requests         |
      | /metrics | administration | wasabilanding_group_downtime   |
      | /metrics | administration | wasabilanding_stranded         |
