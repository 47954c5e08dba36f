Feature: A listener speaks HTTP/1.1 and nothing else

  # The server answered a preface with SETTINGS, "Upgrade: h2c" with 101 and a
  # websocket handshake with 500: streams, frames and messages that no limit
  # and no account counted.
  Scenario Outline: Another protocol is refused, or its offer ignored
    Given a connection that is kept for 60 s
    When a caller opens a connection with <what>
    Then it gets <status>
    And the connection is <after>

    Examples:
      | what                        | status | after  |
      | a request                   | 200    | kept   |
      | an HTTP/1.0 request         | 200    | closed |
      | an HTTP/2 preface           | 505    | closed |
      | an upgrade to HTTP/2        | 200    | kept   |
      | a websocket handshake       | 200    | kept   |
      | a request of version 3.0    | 505    | closed |

  # Each chunk was handed to the application by itself.
  Scenario Outline: A body in small chunks arrives whole
    Given a connection that is kept for 60 s
    When a caller sends a body of <size> bytes in chunks of <chunk> bytes, <parts> a write
    Then it gets <status>
    And the application has read <size> bytes

    Examples:
      | size  | chunk | parts | status |
      | 20000 | 1     | 20000 | 200    |
      | 20000 | 3     | 7     | 200    |
      | 300   | 1     | 1     | 200    |
      | 65000 | 64000 | 1     | 200    |

  # Chunks that arrived before malformed bytes in one read are passed on, and
  # the request is not taken for a complete one.
  Scenario: Malformed bytes behind chunks are refused
    Given a connection that is kept for 60 s
    When a caller opens a connection with two chunks and bytes that are none
    Then it gets 400
    And the connection is closed
