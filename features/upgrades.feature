Feature: Hosts are upgraded one by one
  For hours entries and agents of two versions serve side by side, and an
  operator does not know which of them takes a write.

  Scenario: a write of a later version reaches processes of this one
  The service is declared through an entry of a later version, with a field
  that this version does not know. If this one refused the record, callers of
  old and new entries would from then on be served by different resources.

    Given 2 entries and 1 target of this version
    When a later version writes the service with the field "later" to the log
    Then entries and agents have it in force without the field "later"
    And an operator who reads it through this version sees the field "later"
    And a caller gets a whole answer of 5 tokens through each entry
