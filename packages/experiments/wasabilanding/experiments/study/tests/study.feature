Feature: Reproducible experiments

  Scenario Outline: The same seed gives the same results, another seed does not
    When experiment <file> runs for <seconds> s twice and with another seed
    Then the first two results are equal and the third is not

    Examples:
      | file                          | seconds |
      | routing-cost                  | 5       |
      | faults-platform-and-partition | 15      |

  Scenario Outline: An error in an experiment is reported
    When experiment overload-1x is read with <path> as <value>
    Then the error contains <text>

    Examples:
      | path                         | value                                              | text                     |
      | seconds                      | 3                                                  | seconds                  |
      | duration_s                   | -1                                                 | duration_s: -1           |
      | warmup_s                     | 600                                                | warmup_s: 600            |
      | policies.routing             | "best"                                             | policies.routing: 'best' |
      | load.customers.0.rate_per_s  | "many"                                             | rate_per_s: 'many'       |
      | system.replicas_per_domain   | 9                                                  | replicas_per_domain: 9   |
      | system.engine.steps          | 1                                                  | steps                    |
      | faults                       | [{"at_s": 1, "kind": "kill_vm", "target": "prov"}] | faults.0.target: 'prov'  |
      | faults                       | [{"at_s": 99, "kind": "kill_vm", "target": "a"}]   | faults.0.at_s: 99        |
      | faults                       | [{"at_s": 1, "kind": "platform_down"}]             | 'platform_down' needs    |
      | faults                       | [{"at_s": 1, "kind": "flood"}]                     | faults.0.kind: 'flood'   |

  Scenario: Every shipped experiment is valid
    Then all files of docs/experiments are read without an error

  Scenario: Large customers increase the latency of small ones by a bounded factor
    When experiments fairness-alone and fairness-large run in all failure domains for 20 s
    Then the median and the 95th percentile of each small customer's answers grow by at most 1.5
    And no request of a small customer is refused

  Scenario: Goodput is sustained at twice the capacity
    When experiments overload-1x and overload-2x run in one failure domain for 25 s
    Then goodput of the second is at least 0.9 of the first
    And at most 0.01 of the second's requests are cut at their deadline
    And half of the second's refusals are sent within 0.1 s

  Scenario: Routing by cost outperforms the other policies
    When each policy runs routing-cost in one failure domain for 20 s
    Then policy "cost" has the lowest time to the first token and the most cache hits

  Scenario Outline: The command line runs, compares and plots experiments
    When the experiment command runs: <command>
    Then the command exits with <code> and prints <text>

    Examples:
      | command                            | code | text                    |
      | run {short} --to {one}             | 0    | of 2 s                  |
      | run {broken}                       | 2    | colour                  |
      | run {absent}                       | 2    | No such file            |
      | compare {one} {one}                | 0    | group downtime          |
      | plot {one} {one} --to {picture}    | 0    | plotted 2 results       |
      | schema                             | 0    | "prefix_groups"         |
