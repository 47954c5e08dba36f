Feature: The answer to one request

  Scenario Outline: A message to the caller is never cut in the middle
    Given a server that takes 0.1 s for each message
    When the request is cancelled while <message> is sent
    Then the server has taken the whole message

    Examples:
      | message |
      | begin   |
      | write   |
      | end     |
