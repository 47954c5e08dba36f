Feature: The gateway's process on loopback

  Scenario: The gateway serves, reloads, exports metrics and drains
    Given a gateway with a configuration and one endpoint
    When a caller sends a request over a keep-alive connection
    Then the caller gets the endpoint's answer byte for byte
    And the readiness check returns 200
    And the metrics count one request
    When the settings file changes and the process gets SIGHUP
    Then its log names the changed settings
    When the process gets SIGTERM
    Then the readiness check returns 503
    And the next answer on the keep-alive connection closes it
    And an idle connection is closed within 3 s
    And the process ends within 8 s
