Feature: Routes, services and keys of one version of the configuration

  Scenario Outline: A request finds the route with the longest prefix
    Given routes "/", "/a/", "/a/b/" of host "one.example" and "/c/" of "two.example"
    When a request for <host> and <path> looks for its route
    Then it finds <route>

    Examples:
      | host             | path     | route |
      | one.example      | /a/b/c   | /a/b/ |
      | one.example      | /a/b/    | /a/b/ |
      | one.example      | /a/b     | /a/   |
      | one.example      | /ab/c    | /     |
      | ONE.example:8080 | /a/x     | /a/   |
      | two.example      | /c/x     | /c/   |
      | two.example      | /a/x     | none  |
      | other.example    | /a/x     | none  |
      | one.example      | *        | none  |

  Scenario Outline: What may be repeated follows from the kind
    Given a route of kind <kind> that is resumable <resumable>
    Then its requests are idempotent <idempotent>

    Examples:
      | kind      | resumable | idempotent |
      | safe      | no        | yes        |
      | unsafe    | no        | no         |
      | unsafe    | yes       | no         |
      | streaming | no        | no         |
      | streaming | yes       | yes        |

  Scenario Outline: A key resolves to the customer that holds it
    Given customers "a" with keys "k1,k2" and "b" with key "k3"
    Then key <key> is held by <customer>

    Examples:
      | key | customer |
      | k1  | a        |
      | k3  | b        |
      | k9  | none     |
