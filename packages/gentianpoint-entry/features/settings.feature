Feature: Settings are validated at start
  If a process started with a mistyped setting, the mistake would show only
  under load or in an outage. So the process exits with code 2, and names the
  flag, the environment variable and the reason.

  Scenario: invalid values of the entry's settings
    When an entry is started with these settings
      | flag                   | value        | reason                    |
      | --listen               | localhost:80 | no IP number with port    |
      | --listen               | 127.0.0.1    | no IP number with port    |
      | --listen               | 127.0.0.1:99999 | not between 0 and 65535 |
      | --log-url              | ftp://127.0.0.1 | http://                |
      | --log-url              | http://log:1 | names no IP number        |
      | --hosts-url            | 127.0.0.1:80 | http://                   |
      | --heartbeat-ms         | 1            | not in the range 50<=x<=60000 |
      | --heartbeat-ms         | often        | a valid integer              |
      | --snapshot-records     | 0            | not in the range 1<=x<=1000000 |
      | --snapshot-interval-ms | 99           | not in the range 100<=x<=86400000 |
      | --log-level            | loud         | is not one of             |
      | --operator-key-hash    | the-key      | no SHA-256 digest         |
      | --placement            | best         | is not one of             |
    Then each exits with code 2 and names the flag and the reason

  Scenario: invalid values in the environment
    When an entry is started with these variables
      | variable                         | flag                   | value | reason |
      | GENTIANPOINT_LISTEN              | --listen               | x     | no IP number with port |
      | GENTIANPOINT_HEARTBEAT_MS        | --heartbeat-ms         | 0     | not in the range 50<=x<=60000 |
      | GENTIANPOINT_SNAPSHOT_INTERVAL_MS | --snapshot-interval-ms | soon | a valid integer |
      | GENTIANPOINT_LOG_LEVEL           | --log-level            | loud  | is not one of |
    Then each exits with code 2 and names the flag and the reason

  Scenario: required settings are missing
    When an entry is started without these settings
      | flag                |
      | --name              |
      | --data-centre       |
      | --log-url           |
      | --hosts-url         |
      | --peer-key          |
      | --operator-key-hash |
    Then each exits with code 2 and names the flag and the reason
