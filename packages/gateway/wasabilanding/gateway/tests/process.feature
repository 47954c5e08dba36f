Feature: The gateway's process on loopback

  Scenario: It serves, reloads, tells its metrics and drains
    Given a gateway that knows a configuration and one endpoint
    When a caller asks it over a kept connection
    Then the caller gets the endpoint's answer byte for byte
    And the readiness question gets 200
    And the metrics count one request
    When the settings file changes and the process is told
    Then its log names what has changed
    When the process is told to stop
    Then the readiness question gets 503
    And the next answer on the kept connection closes it
    And an idle connection is closed within 3 s
    And the process ends within 8 s
