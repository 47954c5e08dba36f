Feature: A crowd that keeps to the limits does not end or fill a process

  # Guards against work that no single limit counts: copies of bodies, heads,
  # idle connections, and bytes that wait in sockets. The process may refuse
  # clients and close connections.
  Scenario Outline: A gateway stays within its memory and answers
    Given a gateway with <memory> MB and <descriptors> descriptors
    When <count> clients come that send <what>
    Then the gateway used less than <memory> MB and <descriptors> descriptors
    And an ordinary request is answered while the crowd is there
    And an ordinary request is answered afterwards

    Examples: large bodies
      | memory | descriptors | count | what                            |
      | 200    | 4100        | 40    | whole bodies                    |
      | 200    | 4100        | 60    | bodies but the last byte        |
      | 200    | 4100        | 60    | bodies that trickle             |
      | 200    | 4100        | 60    | chunks without a last one       |
      | 300    | 4100        | 60    | whole bodies                    |
      | 300    | 4100        | 150   | bodies but the last byte        |
      | 200    | 4100        | 8     | small chunks without a last one |

    Examples: heads and connections
      | memory | descriptors | count | what                 |
      | 200    | 4100        | 700   | heads of short lines |
      | 200    | 4100        | 2500  | heads without an end |
      | 200    | 300         | 300   | nothing              |
      | 200    | 4100        | 4200  | nothing              |
      | 200    | 4100        | 400   | unread answers       |

    Examples: another protocol
      | memory | descriptors | count | what          |
      | 200    | 4100        | 80    | http2 streams |

  # HTTP clients reach the callers' port only, but a process has them all.
  Scenario Outline: A crowd at another listener of a gateway does the same
    Given a gateway with <memory> MB and <descriptors> descriptors
    When <count> clients come to its <listener> port that send <what>
    Then the gateway used less than <memory> MB and <descriptors> descriptors
    And an ordinary request is answered while the crowd is there
    And an ordinary request is answered afterwards

    Examples:
      | memory | descriptors | listener  | count | what                            |
      | 200    | 4100        | relays    | 60    | bodies but the last byte        |
      | 200    | 4100        | relays    | 2500  | heads without an end            |
      | 200    | 4100        | readiness | 60    | bodies but the last byte        |
      | 200    | 4100        | readiness | 40    | small chunks without a last one |
      | 200    | 4100        | readiness | 4200  | nothing                         |

  # docs/CAPACITY.md allows the daemon 256 MB.
  Scenario Outline: A daemon stays within its memory and answers
    Given a daemon with <memory> MB and <descriptors> descriptors
    When <count> clients come to its <listener> port that send <what>
    Then the daemon used less than <memory> MB and <descriptors> descriptors
    And an ordinary request is answered while the crowd is there
    And an ordinary request is answered afterwards

    Examples:
      | memory | descriptors | listener       | count | what                            |
      | 256    | 4100        | callers        | 60    | daemon bodies but the last byte |
      | 256    | 4100        | administration | 60    | daemon bodies but the last byte |
      | 256    | 4100        | callers        | 700   | heads of short lines            |
      | 256    | 300         | callers        | 300   | nothing                         |
      | 256    | 4100        | callers        | 12    | daemon bodies of small values   |
