Feature: Connections of callers at the own interface

  Scenario: an error of one connection
    Guards against a caller whose connection ends the process, and with it the
    calls of all others.
    Given an HTTP server whose connections meet an error that it does not expect
    When two callers connect, one after the other
    Then both connections are closed and the server goes on
    And both errors are counted, and one line tells of them
