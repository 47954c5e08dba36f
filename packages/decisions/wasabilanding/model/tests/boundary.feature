Feature: Decision packages are deterministic and free of input and output

  Scenario: Decision packages perform no input or output and read no clock
    When all modules of the decision packages are parsed
    Then none of them imports a module that is not allowed
    And none of them uses the global random number generator
