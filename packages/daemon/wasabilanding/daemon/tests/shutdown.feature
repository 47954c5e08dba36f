Feature: Graceful shutdown completes the requests in flight

  Scenario: An entry VM gets two stop signals while serving all request kinds
    Given an entry VM in its own process
    And streams, a non-streamed request and a plain call in flight on it
    And a keep-alive connection that has been used before
    When the entry VM gets two stop signals
    Then it answers not ready and closes the keep-alive connection
    And each answer in flight is complete
    And the process exits with status 0
    And new connections are refused

  Scenario Outline: An endpoint leaves during a stream of <parts> parts
    When an endpoint signals by <sign> that it leaves during a stream of <parts> parts
    Then that stream is complete and ran once
    And requests sent 3 s later run on other endpoints

    Examples:
      | sign                | parts |
      | its own word        | 2000  |
      | the platform's list | 2000  |
