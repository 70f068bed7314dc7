Feature: An answer that was broken off never looks complete
  An answer may have neither a length nor chunks and end with its connection,
  which ends as well when its target breaks the answer off.

  Scenario: the connection of a stream ends inside an event, at any byte
    Guards against a report that its caller takes for whole, although it is
    cut short and has half an event at its end.
    Given a generation that may run once, without copies
    When a stream without length and chunks is cut at each byte of its events
    Then no caller gets a cut stream as complete, nor a part of an event
