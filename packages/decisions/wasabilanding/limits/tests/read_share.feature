Feature: Shares of endpoints in the reading of a node

  # Guards against endpoints with tiny parts that occupy the node together, and
  # against a delay for those that keep their share.
  Scenario Outline: Endpoints that exceed their shares divide the excess
    When <count> endpoints send <parts> parts a second for 10 s
    Then each of them is read at <rate> parts a second

    Examples:
      | count | parts | rate |
      | 1     | 500   | 500  |
      | 60    | 1500  | 1500 |
      | 1     | 50000 | 2000 |
      | 2     | 50000 | 2000 |
      | 4     | 50000 | 1000 |
      | 40    | 50000 | 100  |

  Scenario: An endpoint keeps its share beside those that exceed theirs
    When 10 endpoints send 50000 parts a second for 10 s
    Then another endpoint with 1500 parts a second does not wait
