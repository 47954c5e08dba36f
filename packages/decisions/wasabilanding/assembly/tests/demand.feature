Feature: Shares of the VMs follow the demand for the models

  # Two models of 8 and 2 VMs, half of 160 VMs each by configuration; 10 slots
  # in a replica. Load is given as the VMs that a model keeps busy.

  Scenario Outline: Lasting demand for one model moves the shares
    Given demand keeps <large> and <small> VMs busy for <seconds> s
    Then the share of the large model is <share>

    # Without, one model's callers queue while the other's slots are free.
    Examples:
      | large | small | seconds | share        |
      | 40    | 40    | 30      | 0.50         |
      | 60    | 20    | 30      | 0.70 to 0.75 |
      | 20    | 60    | 30      | 0.25 to 0.30 |

    # Callers of a model without share are rejected and would not be seen.
    Examples: A model without requests keeps half of its configured share
      | large | small | seconds | share        |
      | 100   | 0     | 60      | 0.75         |
      | 0     | 100   | 60      | 0.25         |

    Examples: The configured shares hold without load, and with little
      | large | small | seconds | share        |
      | 0     | 0     | 30      | 0.50         |
      | 1     | 0     | 30      | 0.50         |

  # Shares once followed demand of a tenth of the VMs. Replicas were taken from
  # the large model, which had none left after the next crashes.
  Scenario Outline: Demand that all models can hold moves nothing
    Given demand keeps <large> and <small> VMs busy for 60 s
    Then the shares have changed <changes> times

    Examples:
      | large | small | changes |
      | 5     | 15    | 0       |
      | 20    | 5     | 0       |
      | 10    | 40    | 0       |
      | 10    | 70    | 1       |

  # Callers of a model whose replicas are lost are refused and not seen.
  Scenario Outline: A model that has lost its replicas keeps its share
    Given demand keeps 60 and 60 VMs busy for 30 s
    And the large model has <open> VMs in open replicas
    And demand keeps <large> and <small> VMs busy for 30 s
    Then the share of the large model is <share>

    Examples: They are lost, or it has them and is asked for less
      | open | large | small | share        |
      | 0    | 0     | 75    | 0.45 to 0.50 |
      | 16   | 16    | 75    | 0.45 to 0.50 |
      | 80   | 16    | 75    | 0.25 to 0.30 |

  Scenario Outline: A load pattern that all models share moves nothing
    Given demand of 0.5 of the VMs swings by <swing> with a period of <period> s for 60 s
    Then the shares have changed 0 times

    Examples:
      | swing | period |
      | 0.55  | 13     |
      | 0.2   | 11     |

  Scenario Outline: A short burst for one model moves nothing
    Given demand keeps 40 and 40 VMs busy for 20 s
    And demand keeps <large> and 40 VMs busy for <seconds> s
    And demand keeps 40 and 40 VMs busy for 20 s
    Then the shares have changed <changes> times

    # A change of a replica's model takes longer than such a burst lasts.
    Examples:
      | large | seconds | changes |
      | 70    | 3       | 0       |
      | 60    | 5       | 0       |

  Scenario: The shares return after a long burst for one model
    Given demand keeps 40 and 40 VMs busy for 20 s
    And demand keeps 120 and 40 VMs busy for 30 s
    And demand keeps 40 and 40 VMs busy for 60 s
    Then the share of the large model is 0.45 to 0.60

  Scenario Outline: Heads that stay limited for longer than a load count as less supply
    Given demand keeps 40 and 40 VMs busy for 20 s
    When <count> of the 10 large heads are limited for <seconds> s and then have no limit for 3 s
    Then the share of the large model was <share> at most

    # A load of the large model takes 16 s.
    Examples: Cold after a start, or for as long as a load
      | count | seconds | share |
      | 4     | 3       | 0.50  |
      | 4     | 16      | 0.50  |

    Examples: For longer; all of them, so that the demand does not show
      | count | seconds | share        |
      | 4     | 60      | 0.55 to 0.70 |
      | 10    | 60      | 0.50         |
