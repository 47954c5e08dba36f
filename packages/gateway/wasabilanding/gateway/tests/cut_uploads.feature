Feature: Replies that are cut while their requests are written

  # An endpoint answered a long upload at once with a 200 without a length, sent
  # a part of the body and reset the connection: 34 of 36 callers got the part
  # as a whole answer.
  Scenario Outline: No part of a reply looks complete
    Given <way> that replies to uploads after <read> bytes and resets
    When 12 callers send <kind> requests of 3000000 bytes
    Then none of them gets a whole success

    Examples:
      | way         | read   | kind      |
      | an endpoint | 0      | unsafe    |
      | an endpoint | 1000   | unsafe    |
      | an endpoint | 500000 | unsafe    |
      | an endpoint | 0      | safe      |
      | an endpoint | 0      | streaming |
      | a node      | 0      | unsafe    |
