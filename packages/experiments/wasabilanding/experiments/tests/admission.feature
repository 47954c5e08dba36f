Feature: Admission queue of an entry VM

  Scenario Outline: A waiting request ends with the expected verdict
    Given an entry VM with 2 slots, and 2 long requests that run
    When a third request with a deadline in <deadline> s arrives and <event>
    Then the third request ends as <verdict> after <least> to <most> s
    And the engine <ran> the third request
    And afterwards no request runs or waits

    Examples:
      | deadline | event                | verdict   | least | most | ran        |
      | 30       | a slot is freed      | completed | 1.0   | 2.0  | ran        |
      | 2        | nothing else happens | not_run   | 1.5   | 2.0  | never ran  |
      | 30       | its caller goes away | gone      | 1.0   | 1.1  | never ran  |
      | 30       | the entry VM drains  | completed | 3.0   | 5.0  | ran        |
