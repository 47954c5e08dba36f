Feature: Operators' command line against a running system

  Scenario Outline: Each command prints its result and exits with the right code
    Given a running system with profile "draft" at revision 1
    When the command line runs: <command>
    Then it exits with <code> and prints <text>

    Examples:
      | command                                         | code | text                            |
      | profile list                                    | 0    | draft                           |
      | profile list --json                             | 0    | "revision": 1                   |
      | profile show draft                              | 0    | "version": "v1"                 |
      | profile show none                               | 1    | profile none does not exist     |
      | profile history draft                           | 0    | v1                              |
      | profile validate {valid}                        | 0    | profile draft is valid          |
      | profile validate {invalid}                      | 2    | colour: 'red'                   |
      | profile validate {absent}                       | 2    | No such file                    |
      | profile put {invalid}                           | 2    | colour: 'red'                   |
      | profile put {valid}                             | 3    | is at revision 1, not 0         |
      | profile put {large} --replaces 1                | 1    | vms_per_replica: 9 VMs          |
      | profile rollback draft --to 5 --replaces 1      | 1    | revision 5 of profile draft     |
      | service choose escriba none                     | 1    | profile none does not exist     |
      | service choose escriba draft --replaces 4       | 3    | is at revision 1, not 4         |
      | service list                                    | 0    | escriba                         |
      | service explain escriba                         | 0    | 1 of 1 replicas of 2 VMs serve  |
      | service explain none                            | 1    | service none does not exist     |
      | customer set salon-maipu --weight 2             | 0    | salon-maipu has weight 2.0      |
      | customer set salon-maipu --weight -2            | 1    | weight: -2.0                    |
      | status                                          | 0    | stranded                        |
      | status --json                                   | 0    | "serving": 1                    |
      | --url http://127.0.0.1:9 status                 | 4    | unreachable                     |
      | settings check {settings}                       | 0    | are valid                       |
      | settings check {bad_settings}                   | 2    | callers.port: 0 is not allowed  |
      | settings schema                                 | 0    | "failure_domain"                |

  Scenario Outline: The daemon rejects invalid settings before it starts
    When the daemon starts with settings <change>
    Then it exits with 2 and prints <text>

    Examples:
      | change                       | text                                      |
      | without node                 | node: nothing is not allowed              |
      | with colour as "red"         | colour: 'red' is not allowed              |
      | with platform_url as "ftp:x" | platform_url: 'ftp:x' is not allowed      |
      | with lease_ttl_s as -1       | lease_ttl_s: -1 is not allowed            |
      | with seeds as ["nohost"]     | seeds.0: 'nohost' is not allowed          |
      | with log_level as "LOUD"     | log_level: 'LOUD' is not allowed          |
      | with peers as {"port": 7001} | listeners share an address                |
      | that are malformed           | Invalid JSON                              |
      | that are absent              | No such file                              |
