Feature: Regions in which the endpoints of a request may be

  Scenario Outline: Both restrictions apply, and an unknown region is no allowed one
    Given a node in region "<own>" and failure domain z1, with regions "<regions>"
    When the route allows "<route>" and the customer "<customer>"
    Then its endpoints may be in "<endpoints>" of z1, z2 and z3
    And its body may be sent to nodes in "<nodes>" of z1, z2 and z3

    Examples: Neither, one, or both restrict it
      | own | regions           | route | customer | endpoints | nodes    |
      | eu  | z1=eu z2=us z3=us | -     | -        | z1 z2 z3  | z1 z2 z3 |
      | eu  | z1=eu z2=us z3=us | us    | -        | z2 z3     | z1 z2 z3 |
      | eu  | z1=eu z2=us z3=us | -     | eu       | z1        | z1       |
      | eu  | z1=eu z2=us z3=as | eu us | us as    | z2        | z1 z2    |
      | eu  | z1=eu z2=us z3=us | eu    | us       |           | z1       |

    Examples: A region is not known, of the list, a failure domain or the node
      | own | regions     | route | customer | endpoints | nodes    |
      | eu  | z1=eu z2=us | as    | -        |           | z1       |
      | eu  | z1=eu z2=us | us    | -        | z2        | z1 z2    |
      | eu  | -           | eu    | -        | z1        | z1       |
      |     | z2=us       | us    | -        | z2        | z2       |
      |     | z1=eu z2=us | us    | -        | z2        | z1 z2    |
      |     | -           | eu    | -        |           |          |
      |     | -           | -     | -        | z1 z2 z3  | z1 z2 z3 |
