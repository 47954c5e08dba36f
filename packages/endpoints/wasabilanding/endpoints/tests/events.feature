Feature: Parser of server-sent events

  Scenario Outline: <what>
    When the parser is fed <text>
    Then it finds offset <offset> with data <data>

    Examples:
      | what                     | text                                 | offset | data    |
      | a usual event            | "id: 7\ndata: a\n\n"                 | 7      | "a"     |
      | no space after the colon | "id:7\ndata:a\n\n"                   | 7      | "a"     |
      | data before the id       | "data: a\nid: 7\n\n"                 | 7      | "a"     |
      | carriage returns         | "id: 7\r\ndata: a\r\n\r\n"           | 7      | "a"     |
      | lone carriage returns    | "id: 7\rdata: a\r\r "                | 7      | "a"     |
      | several lines of data    | "id: 7\ndata: a\ndata: b\n\n"        | 7      | "a\nb"  |
      | a comment before         | ": alive\n\nid: 7\ndata: a\n\n"      | 7      | "a"     |
      | other fields             | "event: x\nid: 7\ndata: a\nretry: 9\n\n" | 7  | "a"     |
      | no id                    | "data: a\n\n"                        | -1     | "a"     |
      | an id that is no number  | "id: x1\ndata: a\n\n"                | -1     | "a"     |
      | a negative id            | "id: -3\ndata: a\n\n"                | -1     | "a"     |
      | empty data               | "id: 7\ndata:\n\n"                   | 7      | ""      |

  Scenario: Events do not depend on how their bytes are split
    When streams with any line ends are split at random positions
    Then the parser finds the same events
