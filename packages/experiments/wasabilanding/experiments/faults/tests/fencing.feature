Feature: Control of a failure domain under pauses, races and lost answers

  Scenario Outline: A former holder resumes with a call in flight
    When a holder is paused before <path> and engines <engines> stale fencing tokens
    Then no invariant was violated
    And the former holder no longer holds control
    And the replica was then down for <downtime> and had <epochs> new epochs

    Examples: an outdated order, and a write that fails compare-and-swap
      | path            | engines | downtime          | epochs |
      | /v1/orders/load | refuse  | at most 0 seconds | 0      |
      | /v1/orders/load | ignore  | at most 3 seconds | 1      |
      | /v1/kv/record/  | refuse  | at most 0 seconds | 0      |
      | /v1/kv/record/  | ignore  | at most 0 seconds | 0      |

  Scenario: A write whose answer is lost takes effect once
    When the answer to the write of a repair is lost
    Then no invariant was violated
    And the repair took one write

  Scenario Outline: A member dies while the store is down
    When a member of a replica dies among <vms> VMs and the store is down
    Then no invariant was violated
    And the replica was down for <least> to <most> seconds
    And it kept serving when the store recovered: <kept>

    Examples: with a recorded spare and without
      | vms | least | most | kept |
      | 3   | 0     | 1    | yes  |
      | 2   | 9     | 12   | no   |

  Scenario Outline: Runs under random faults
    When a run with seed <seed> has engines that <engines> stale fencing tokens
    Then no invariant was violated
    And all replicas serve again within 10 seconds of the last fault

    Examples:
      | seed | engines |
      | 1    | ignore  |
      | 2    | refuse  |
      | 3    | ignore  |
      | 4    | refuse  |
      | 5    | ignore  |
      | 6    | ignore  |
      | 7    | refuse  |
      | 8    | ignore  |
