Feature: Nodes of the commit in production and today's run side by side

  # A message, record or header that one of them does not understand costs
  # requests, or is named in a log.
  Scenario: An upgrade and its rollback under load, one node after the other
    Given the sources of the commit in production
    When the gateways are replaced by today's one by one, and back again
    Then at least 0.95 of the requests were answered with 200
    And no guarantee was violated
    And no gateway logs that it did not understand something
    And gateways of both kinds have handed requests to others

  # The first node for a suspected part of prompts was found by another order:
  # two nodes tried it, or none.
  Scenario: Both kinds of nodes choose alike
    Given the sources of the commit in production
    Then they choose owners, homes and first nodes as today's do

  # Collectors and their segments need ten nodes in a failure domain, more than
  # run above.
  Scenario Outline: Each kind of node reads what the other one writes
    Given the sources of the commit in production
    When <writer> write all messages and records, and <reader> read them
    Then each field that both know has its value

    Examples:
      | writer            | reader            |
      | today's sources   | those sources     |
      | those sources     | today's sources   |
      | today's sources   | today's sources   |

  Scenario: The test says so if the commit is not there
    When the sources of the commit in production are read from a new repository
    Then the message says that a shallow clone lacks the commit
