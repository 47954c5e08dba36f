Feature: A single client within the limits is served in calm

  # Guards against limits that a client within those of the configuration
  # meets: none is on the lines of a head, the size of chunks or of writes.
  Scenario Outline: The largest and the smallest parts
    Given a gateway with <memory> MB and <descriptors> descriptors
    When a client sends <what>
    Then it is answered with 200

    Examples:
      | memory | descriptors | what                                   |
      | 200    | 4100        | a body of 4194304 bytes                |
      | 200    | 4100        | a body of 4194304 bytes in large chunks |
      | 200    | 4100        | a body of 100000 bytes in chunks of 1  |
      | 200    | 4100        | a body of 1000 bytes, a byte a write   |
      | 200    | 4100        | a head of 16000 bytes in short lines   |
      | 200    | 4100        | a head of 16000 bytes in one line      |
      | 200    | 300         | a head of 16000 bytes in short lines   |

  # 15 s is the idle timeout of the configuration.
  Scenario: Connections that are idle for four fifths of their limit
    Given a gateway with 200 MB and 4100 descriptors
    When 300 clients are answered, wait for 12 s and send again
    Then all of them are answered with 200
