Feature: A reply that is cut while its request is written is not whole

  # A socket reports its reset once: the write had the report, and the read
  # behind it an ordinary end, which ends a body without a length.
  Scenario Outline: A reply without a length, and a reset during an upload
    Given a client of <kind>
    When 12 uploads of <size> bytes get a part of a reply <framing> and a reset after <read> bytes
    Then none of them has a whole reply

    Examples:
      | kind      | size    | framing        | read   |
      | endpoints | 3000000 | without length | 0      |
      | endpoints | 3000000 | without length | 1000   |
      | endpoints | 3000000 | without length | 500000 |
      | endpoints | 3000000 | with a length  | 1000   |
      | reports   | 3000000 | without length | 0      |
      | reports   | 3000000 | without length | 500000 |
      | orders    | 3000000 | without length | 1000   |
      | the store | 3000000 | without length | 0      |
      | the store | 3000000 | without length | 500000 |
      | operators | 3000000 | without length | 0      |
      | operators | 3000000 | without length | 500000 |

  # The parser takes more than the protocol allows.
  Scenario Outline: A head that is not valid is no reply
    Given a client of <kind>
    When a server replies with the form "<form>"
    Then there is no reply

    Examples:
      | kind      | form                        |
      | endpoints | status 000                  |
      | endpoints | status 099                  |
      | endpoints | status 600                  |
      | endpoints | status 999                  |
      | endpoints | status 2000                 |
      | endpoints | 204 with a body             |
      | endpoints | 204 in chunks               |
      | endpoints | version 1.2                 |
      | endpoints | version 2.0                 |
      | endpoints | control byte in the reason  |
      | endpoints | control byte in a value     |
      | endpoints | blank in a name             |
      | endpoints | control byte in a name      |
      | endpoints | blank before the colon      |
      | endpoints | blank in a trailer's name   |
      | reports   | status 000                  |
      | reports   | status 600                  |
      | reports   | version 1.2                 |
      | reports   | control byte in a name      |
      | reports   | 204 with a body             |
      | the store | status 000                  |
      | the store | status 600                  |
      | the store | version 2.0                 |
      | the store | blank in a name             |
      | operators | status 999                  |
      | operators | version 1.2                 |
      | operators | control byte in the reason  |

  Scenario Outline: Valid replies are replies
    Given a client of <kind>
    When a server replies with the form "<form>"
    Then there is a whole reply

    Examples:
      | kind      | form                 |
      | endpoints | with a length        |
      | endpoints | without length       |
      | endpoints | 204 of length 0      |
      | endpoints | status 599           |
      | endpoints | version 1.0          |
      | reports   | without length       |
      | the store | without length       |
      | operators | without length       |
