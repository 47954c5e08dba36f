Feature: Registered endpoints and their replicas

  Scenario Outline: A registration that lapsed in a store outage is kept for a grace period
    Given an endpoint registered as <state>
    And the store recovered at 10 s
    When its registration is missing at <missed> s
    And the time is <now> s
    Then the endpoint is <kept>

    Examples:
      | state    | missed | now  | kept  |
      | ready    | 10.5   | 11   | kept  |
      | ready    | 10.5   | 12.2 | kept  |
      | ready    | 10.5   | 12.4 | gone  |
      | ready    | 12.5   | 12.5 | gone  |
      | draining | 10.5   | 10.6 | gone  |

  Scenario: An endpoint that registers again in the grace period is kept
    Given an endpoint registered as ready
    And the store recovered at 10 s
    When its registration is missing at 10.5 s
    And it is registered again
    And the time is 13 s
    Then the endpoint is kept

  Scenario Outline: An endpoint that announced its shutdown drains until its next start
    Given an endpoint registered as ready
    When start <announced> of it announces its shutdown at 10 s
    And it is registered again as start <start> and <state>
    Then it drains: <drains>

    Examples: It is registered with start 0 before
      | announced | start | state    | drains |
      | 0         | 0     | ready    | yes    |
      | 0         | 0     | draining | yes    |
      | 0         | 1     | ready    | no     |
      | 1         | 0     | ready    | no     |
      | 1         | 1     | ready    | yes    |
      | 1         | 2     | draining | yes    |

  Scenario Outline: A start is known while it is registered and shortly afterwards
    Given an endpoint registered as ready
    When <change>
    And the time is <now> s
    Then its start 0 is known: <known>

    Examples:
      | change                                       | now | known |
      | the time is 1 s                              | 99  | yes   |
      | its registration is missing at 11 s          | 12  | yes   |
      | its registration is missing at 11 s          | 80  | no    |
      | it is registered again as start 1 and ready  | 12  | no    |

  Scenario: An announced shutdown is in force at once, and new only once
    Given an endpoint registered as ready
    When start 0 of it announces its shutdown at 10 s
    Then it drains: yes
    And the version of the registry has changed
    And the announcement is new: yes
    When start 0 of it announces its shutdown at 11 s
    Then the announcement is new: no
    And it has been registered since its announcement for 5 s at 15 s

  Scenario: An announced shutdown outlasts a lapse of the registration
    Given an endpoint registered as ready
    When start 0 of it announces its shutdown at 10 s
    And its registration is missing at 11 s
    And the time is 80 s
    And it is registered again
    Then it drains: yes

  Scenario: The announced shutdown of an endpoint that is gone counts no more
    Given an endpoint registered as ready
    When start 0 of it announces its shutdown at 10 s
    And its registration is missing at 11 s
    Then no registered endpoint has announced its shutdown

  Scenario Outline: A copy of the store does not undo what is known of an endpoint
    Given an endpoint registered as <known>
    When the store is restored with the endpoint as <listed>
    Then the endpoint is in use as <used>

    Examples:
      | known             | listed            | used              |
      | ready             | nothing           | ready             |
      | ready             | ready             | ready             |
      | draining          | ready             | draining          |
      | ready             | draining          | draining          |
      | draining          | nothing           | nothing           |
      | epoch 7           | epoch 5           | epoch 7           |
      | epoch 7           | epoch 9           | epoch 9           |
      | epoch 7           | ready             | epoch 7           |
      | ready             | epoch 7           | epoch 7           |
      | draining epoch 7  | epoch 9           | draining epoch 9  |
      | ready             | started later     | started later     |
      | draining          | started later     | started later     |
      | started later     | ready             | started later     |
      | removed           | ready             | nothing           |
      | removed           | started later     | started later     |

  Scenario: Endpoints that a second restore has lost get a grace period of their own
    Given an endpoint registered as ready
    When the store is restored at 10 s with the endpoint as nothing
    And the store is restored at 12 s with the endpoint as nothing
    And the time is 14.2 s
    Then the endpoint is kept

  Scenario Outline: A replica is whole when all ranks are in service
    Given members <members>
    Then the replica of size <size> is whole: <whole> and open: <open>

    Examples:
      | members                          | size | whole | open |
      | 0:open,1:ready                   | 2    | yes   | yes  |
      | 0:ready,1:ready                  | 2    | yes   | no   |
      | 0:open,1:joining                 | 2    | no    | yes  |
      | 0:open                           | 2    | no    | yes  |
      | 0:open                           | 1000000000000000 | no | yes |
      | 1:ready                          | 2    | no    | no   |
      | 0:open,0:ready                   | 2    | no    | yes  |
      | 0:open,1:ready,2:ready,3:ready   | 4    | yes   | yes  |
      | 0:open,1:ready,3:ready           | 4    | no    | yes  |
      | 0:broken,1:ready                 | 2    | no    | no   |
      | 0:closing,1:ready                | 2    | no    | no   |

  # Guards against a heartbeat that is passed over although it has an effect.
  Scenario: The same registration put again has the effect of a copy
    When 1000 random events reach a registry, and another one with copies
    Then both had the same endpoints and versions throughout

  Scenario: Members of a replica are in the order of rank and identity
    When 200 random sets of endpoints are grouped into replicas
    Then the members of each are sorted by rank and identity
