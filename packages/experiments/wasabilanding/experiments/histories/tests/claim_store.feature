Feature: Claims in the platform's store

  Scenario Outline: The store drops claims and answers by itself
    Given a claim store with an ended claim and its answer
    When <hours> hours pass
    Then the claim is <claim> and the answer is <answer>

    Examples:
      | hours | claim | answer |
      | 0.2   | kept  | kept   |
      | 0.5   | kept  | gone   |
      | 23.9  | kept  | gone   |
      | 24.2  | gone  | gone   |

  Scenario: A lapsed lease is replaced by a new one
    Given a claim store with an ended claim and its answer
    When the leases lapse early
    Then another claim can be written at the second try

  Scenario Outline: Leases are shared
    Given a claim store with an ended claim and its answer
    When <count> claims are written in <minutes> minutes
    Then at most <grants> leases were granted

    Examples:
      | count | minutes | grants |
      | 100   | 4       | 2      |
      | 100   | 20      | 6      |

  Scenario Outline: Calls to plain services run at most once
    Given a running system with a plain service
    When a call marked "<mark>" with key "<key>" is sent <tries> times
    Then the plain service was called <calls> times
    And all tries were answered "<answers>"

    Examples:
      | mark  | key   | tries | calls | answers            |
      | true  | tar-1 | 3     | 1     | done, done, done   |
      | true  |       | 2     | 2     | done, done         |
      | false | tar-1 | 2     | 2     | done, done         |
      | maybe | tar-1 | 1     | 0     | invalid_request    |
