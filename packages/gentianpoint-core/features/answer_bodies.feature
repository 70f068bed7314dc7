Feature: Every reader of an answer tells whether it is complete
  A body without a length and chunks ends with its connection, and so does one
  whose sender crashes.

  Scenario Outline: a body without a length and chunks
    Guards against a reader that takes half an answer for a whole one, and
    against one that takes a whole one for half.
    Given a sender that answers "unframed answer 1 and close" and then <then>
    When <reader> reads the body
    Then the body is <outcome>

    Examples:
      | reader                                    | then    | outcome    |
      | the connection pool                       | listens | whole      |
      | the connection pool                       | ends    | broken off |
      | the adapter of plain services             | listens | whole      |
      | the adapter of plain services             | ends    | broken off |

  Scenario Outline: a body that is delimited
    Its length tells, so nobody is asked whether its sender goes on.
    Given a sender that answers "<answer>" and then ends
    When <reader> reads the body
    Then the body is <outcome>

    Examples:
      | reader                        | answer                     | outcome    |
      | the connection pool           | answer 1                   | whole      |
      | the connection pool           | half of answer 1 and close | broken off |
      | the adapter of plain services | answer 1                   | whole      |
      | the adapter of plain services | half of answer 1 and close | broken off |

  Scenario Outline: an answer comes while its request is being sent
    The write of the request fails, and is told of the reset instead of the
    reader. Guards against a part that is taken for a whole body, and against
    losing a sound early answer.
    Given a sender that answers "<answer>" and then listens
    When <reader> sends a long request and reads the body
    Then the body is <outcome>

    Examples:
      | answer                                   | reader                        | outcome    |
      | unframed answer 1 and reset              | the connection pool           | broken off |
      | unframed answer 1 and close              | the connection pool           | broken off |
      | unframed answer 1 and shutdown and reset | the connection pool           | broken off |
      | half of answer 1 and reset               | the connection pool           | broken off |
      | answer 1 and reset                       | the connection pool           | whole      |
      | answer 1 and close                       | the connection pool           | whole      |
      | unframed answer 1 and reset              | the adapter of plain services | broken off |
      | unframed answer 1 and close              | the adapter of plain services | broken off |
      | unframed answer 1 and shutdown and reset | the adapter of plain services | broken off |
      | half of answer 1 and reset               | the adapter of plain services | broken off |
      | answer 1 and reset                       | the adapter of plain services | whole      |
      | answer 1 and close                       | the adapter of plain services | whole      |

  Scenario Outline: a connection is reset after the end of an answer
    The last write of the request has succeeded by then. Guards against an end
    that is judged before the reset comes.
    Given a sender that answers "unframed answer 1 and shutdown and reset" and then listens
    When <reader> reads the body
    Then the body is broken off

    Examples:
      | reader                        |
      | the connection pool           |
      | the adapter of plain services |

  Scenario: an engine answers while a long prompt is being sent
    Guards against a part of a stream that is taken for the whole one.
    Given a sender that answers "unframed answer 1 and reset" and then listens
    When the adapter of engines starts a stream with a long prompt
    Then no event ends the stream

  Scenario: the log answers while a long record is being sent
    Guards against half a document that is taken for the log's answer.
    Given a sender that answers "unframed answer 1 and reset" and then listens
    When the adapter of the log appends a long record
    Then the body is broken off

  Scenario: an answer to another request ends with its connection
    Guards against waiting for an answer that can't follow any more.
    Given a sender that answers "unframed answer 7 and close" and then listens
    When the connection pool reads the body
    Then the body is broken off

  Scenario: the log's answer to an append is cut
    Guards against an error that ends the process, as half a document is no
    document. The record may have been appended.
    Given a sender that answers "unframed answer 1 and close" and then ends
    When the adapter of the log appends a record
    Then the body is broken off

  Scenario: another task ends the exchange while its body is read
    Guards against an error that the reader does not expect, as its run is
    closed for one at another target.
    Given a sender that answers "half of answer 1 and wait" and then listens
    When the connection pool reads the body, and another task ends the exchange
    Then the body is broken off

  Scenario Outline: a body that is read late
    Another process may listen at the address by then, and no other connection
    to the sender is open. Guards against taking it for the sender.
    Given a sender that answers "<answer>" and then listens
    When <reader> reads the body, and pauses for 0.4 s
    Then the body is <outcome>

    Examples:
      | answer                       | reader                        | outcome    |
      | unframed answer 1 and close  | the connection pool           | broken off |
      | unframed answer 1 and close  | the adapter of plain services | broken off |
      | answer 1                     | the connection pool           | whole      |
      | answer 1                     | the adapter of plain services | whole      |

  Scenario Outline: who goes on at the address of a sender
    A process that ends closes all its connections. Guards against another one
    at its address that is taken for it.
    Given a process with a connection that was opened <when> an answer
    When <what>
    Then the connection pool finds that <finding>

    Examples:
      | when   | what                                           | finding                |
      | before | nothing happens                                | the sender goes on     |
      | after  | nothing happens                                | some process listens   |
      | before | it ends, and another one listens at its address | some process listens  |
      | after  | it ends, and another one listens at its address | some process listens  |
      | before | it ends                                        | the sender has ended   |
