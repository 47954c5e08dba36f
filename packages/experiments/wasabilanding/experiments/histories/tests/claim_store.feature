Feature: Claims in the platform's store

  Scenario Outline: The store deletes claims and answers on expiry
    Given a claim store with an ended claim and its answer
    When <hours> hours pass
    Then the claim is <claim> and the answer is <answer>

    Examples:
      | hours | claim | answer |
      | 0.2   | kept  | kept   |
      | 0.5   | kept  | gone   |
      | 23.9  | kept  | gone   |
      | 24.2  | gone  | gone   |

  Scenario: A revoked lease is replaced by a new one
    Given a claim store with an ended claim and its answer
    When the leases are revoked early
    Then another claim can be written at the second attempt

  Scenario Outline: Claims share leases
    Given a claim store with an ended claim and its answer
    When <count> claims are written in <minutes> minutes
    Then at most <grants> leases were granted

    Examples:
      | count | minutes | grants |
      | 100   | 4       | 2      |
      | 100   | 20      | 6      |

  Scenario Outline: Calls to plain services run at most once
    Given a running system with a plain service
    When a call with non-idempotent "<mark>" and key "<key>" is sent <tries> times
    Then the plain service was called <calls> times
    And the answers were "<answers>"

    Examples:
      | mark  | key   | tries | calls | answers            |
      | true  | tar-1 | 3     | 1     | done, done, done   |
      | true  |       | 2     | 2     | done, done         |
      | false | tar-1 | 2     | 2     | done, done         |
      | maybe | tar-1 | 1     | 0     | invalid_request    |
