Feature: The boundary between decisions and the daemon

  Scenario: Decision packages do no input or output and read no clock
    When all modules of the decision packages are read
    Then none of them imports a module outside the allowed list
    And none of them calls the module-wide random source
