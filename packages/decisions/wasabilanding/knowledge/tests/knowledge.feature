Feature: Cluster state of one node

  Scenario Outline: A VM is leaving as soon as its report or the VM list says so
    Given a report of VM "vm-1" that says <report>
    When <event>
    Then VM "vm-1" is known as <state>

    Examples:
      | report  | event                                     | state   |
      | staying | nothing happens                           | staying |
      | leaving | nothing happens                           | leaving |
      | staying | the platform lists it as leaving          | leaving |
      | staying | it is listed as leaving and reports again | leaving |
      | staying | its leaving is listed and taken back      | staying |
