Feature: Datagrams between processes
  Entries lend each other turns by datagrams, and ask agents for the state of
  their engines.

  Scenario: many datagrams wait while tasks run late
    Guards against answers that are read after the wait for them is over, since
    one datagram is read for each turn of the scheduler.
    When 50 questions come at once
    Then all of them are answered within 15 turns of the scheduler

  Scenario: a datagram to a host that refuses it
    Guards against an entry that ends, or reads nothing more, since a process
    to which it has written is gone.
    When a message to a process that is gone is sent, and 5 questions come
    Then all of them are answered
