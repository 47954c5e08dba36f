Feature: Writing the answer to a request

  Scenario Outline: A cancellation does not interrupt a message to the caller
    Given a server that takes 0.1 s for each message
    When the request is cancelled while <message> is sent
    Then the server has taken the whole message

    Examples:
      | message |
      | begin   |
      | write   |
      | end     |
