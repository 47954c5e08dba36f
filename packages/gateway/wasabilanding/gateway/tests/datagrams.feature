Feature: Datagrams of other builds

  # Nodes of another build may send what this one does not know with each
  # datagram; a line for each would displace the other lines.
  Scenario Outline: What a node does not understand is logged now and then
    When <senders> nodes send 40 datagrams with <content> each, 0.5 s apart
    Then <lines> lines are logged, the last of which counts <unlogged> others

    Examples: One line in 10 s for each sender
      | senders | content      | lines | unlogged |
      | 1       | a new kind   | 2     | 19       |
      | 3       | a new kind   | 6     | 19       |
      | 1       | no JSON      | 2     | 19       |
      | 1       | known fields | 0     | 0        |
