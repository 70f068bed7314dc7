Feature: Messages from other processes never end an entry
  Other entries and agents may run another release, or be faulty. Whatever a
  message contains, at most the connection that it came over ends.

  Scenario: arbitrary messages of entries and agents that connect
    An exception that the connection's task does not expect would end the
    entry, and then every entry that the gossip is passed on to.
    Then whatever other entries send, only the connection ends, and what is passed on can be sent

  Scenario: arbitrary reports of an agent
    Then whatever an agent sends, only the connection ends, and a target can be chosen

  Scenario: more answers than requests
    An entry answers the same request several times. Only the first answer is
    waited for.
    Given an entry that asks another one for records
    When three answers come at once
    Then the records are read

  Scenario Outline: an invalid address
    Addresses of members are passed on from entry to entry, and each entry
    connects to some of them.
    Then connecting to <address> fails as if it could not be reached

    Examples:
      | address     |
      | [           |
      | 10.0.0.1    |
      | host        |
      | 10.0.0.1:99999 |
