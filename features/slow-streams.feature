Feature: Slow streams
  A stream that makes progress is not aborted, however slow its engine or its caller is.

  # Guards against treating a stream as stalled while its caller has not read the last chunk.
  Scenario: A caller that reads slowly does not make its stream look stalled
    Given an upstream that streams events
    When an attempt with a silence timeout of 300 ms is relayed to a caller not reading for 900 ms
    Then the attempt is relayed

  Scenario: A stalled stream is aborted after its silence timeout
    Given an upstream that streams events
    And the upstream stalls after its first bytes
    When an attempt with a silence timeout of 300 ms is relayed to a caller not reading for 0 ms
    Then the attempt is broken

  # Guards against resuming streams at another upstream after pauses that their route allows.
  Scenario: A stream whose route allows long pauses is not resumed at another upstream
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And upstreams answer after 2000 ms
    When a caller asks for "/stream/patient/1"
    Then the caller gets status 200 and 5 complete events
    And one request ran

  # Guards against a process that the HTTP client ends when a response that it has paused ends.
  Scenario Outline: A response of <bytes> bytes that ends by <how> while its caller does not read is <outcome>
    When a response of <bytes> bytes ends by "<how>" while nobody reads it
    Then the response is "<outcome>"

    Examples:
      | bytes | how     | outcome |
      | 20000 | a close | whole   |
      | 20000 | a reset | cut     |
      | 70000 | a close | whole   |
      | 70000 | a reset | cut     |

  Scenario Outline: A connection can be closed while <bytes> bytes of its response are not read
    When a response of <bytes> bytes ends by "its own end" while nobody reads it
    Then the process goes on

    Examples:
      | bytes |
      | 20000 |
      | 70000 |
