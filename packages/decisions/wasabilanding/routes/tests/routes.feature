Feature: Routes, services and keys of one version of the configuration

  Scenario Outline: A request matches the route with the longest prefix
    Given routes "/", "/a/", "/a/b/" of host "one.example" and "/c/" of "two.example"
    When the route of a request for <host> and <path> is looked up
    Then it is <route>

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

  Scenario Outline: The request kind determines whether requests are idempotent
    Given a route of kind <kind> that is resumable: <resumable>
    Then its requests are idempotent: <idempotent>

    Examples:
      | kind      | resumable | idempotent |
      | safe      | no        | yes        |
      | unsafe    | no        | no         |
      | unsafe    | yes       | no         |
      | streaming | no        | no         |
      | streaming | yes       | yes        |

  Scenario Outline: A key resolves to its customer
    Given customers "a" with keys "k1,k2" and "b" with key "k3"
    Then key <key> belongs to <customer>

    Examples:
      | key | customer |
      | k1  | a        |
      | k3  | b        |
      | k9  | none     |
