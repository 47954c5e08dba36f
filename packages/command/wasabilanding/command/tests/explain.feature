Feature: Tracing one request through the logs of several nodes

  Scenario Outline: Lines of a request are found in all logs and printed in chronological order
    Given logs with lines of requests r1 and r2 on two nodes
    When request <request> is explained
    Then it prints <lines> and ends with <code>

    Examples:
      | request | lines                                        | code |
      | r1      | attempt failed; request ends with 200        | 0    |
      | r2      | request ends with 503                        | 0    |
      | r3      | no line names request r3                     | 1    |

  Scenario: A log file that cannot be read is reported
    Given logs with lines of requests r1 and r2 on two nodes
    When request r1 is explained from a file that does not exist
    Then it prints missing.log and ends with 2
