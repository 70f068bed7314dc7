Feature: Messages from other processes never end an entry
  Other entries and agents may be of another release, or broken. Whatever a
  message says, at most the connection that brought it ends.

  Scenario: messages of entries and agents that connect
    An error that the connections' task does not expect would end the entry,
    with all entries that the news is passed on to.
    Then whatever other entries send, only the connection ends, and what is passed on is sent

  Scenario: reports of an agent
    Then whatever an agent sends, only the connection ends, and engines can be chosen among

  Scenario: more answers than questions
    An entry answers again and again. Only one of the answers is waited for.
    Given an entry that asks another one for records
    When three answers come at once
    Then the records are read

  Scenario Outline: an address that is none
    Members are told of from entry to entry, and each connects to some.
    Then connecting to <address> fails as to one that can't be reached

    Examples:
      | address     |
      | [           |
      | 10.0.0.1    |
      | host        |
      | 10.0.0.1:99999 |
