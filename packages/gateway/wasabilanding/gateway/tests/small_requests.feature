Feature: Request bodies in many small parts

  # Guards against callers whose bodies come in chunks of one byte: reading them
  # must not take the time of other callers' requests.
  Scenario Outline: Bodies in small chunks leave other requests their time
    Given a node that answers requests
    When <count> callers send bodies in chunks of one byte without end
    Then each request of another caller is answered within 0.3 s

    Examples:
      | count |
      | 1     |
      | 12    |

  Scenario: A whole body in small chunks is read
    Given a node that answers requests
    When a caller sends a body in 2500 chunks of one byte
    Then the node has read 2500 bytes
