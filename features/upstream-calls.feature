Feature: Calls to upstreams
  A call reaches an upstream at most once, and its error tells whether it may have been dispatched.

  Background:
    Given an upstream behind a relay

  # Guards against a non-idempotent call written to a connection that failed while it was idle.
  Scenario: A call that must not be sent twice avoids an idle connection
    Given an upstream call was answered 1000 ms ago
    When the relay goes silent
    And 1 upstream call that must not be sent twice is made
    Then 1 upstream call was answered

  # Guards against a transport that sends a call again after the other end closed.
  Scenario: A closed connection fails one call that must not be sent twice
    Given the upstream has the faults '{"hangUp": true}'
    When 1 upstream call that must not be sent twice is made
    Then 1 upstream call failed with "upstream-failed" and may have been dispatched
    And the upstream closed 1 connection without an answer

  Scenario: A call on a refused connection was not dispatched
    Given the upstream has ended
    When 1 upstream call that must not be sent twice is made
    Then 1 upstream call failed with "upstream-crashed" and was not dispatched

  Scenario: A process that ends during a call is reported as crashed
    Given an upstream in its own process that crashes on "poison"
    When 1 upstream call with text "poison" is made
    Then 1 upstream call failed with "upstream-crashed" and may have been dispatched

  Scenario: A stopped process is distinguished from a silent connection
    Given an upstream in its own process that is stopped
    When 1 upstream call is made
    Then 1 upstream call failed with "upstream-failed" and may have been dispatched

  # Guards against answers that are matched by connection alone and against unbounded reads.
  Scenario Outline: A wrong answer fails one attempt
    Given the upstream has the faults '<faults>'
    When 1 upstream call is made
    And the upstream has no faults
    And 1 upstream call is made
    Then 1 upstream call failed with "upstream-failed" and may have been dispatched
    And 1 upstream call was answered
    And 1 answer was dropped as "<reason>"

    Examples:
      | faults                | reason      |
      | {"echo": "r/other/0"} | other-call  |
      | {"body": "garbage"}   | malformed   |
      | {"body": "endless"}   | too-large   |

  Scenario Outline: A wrong stream fails one attempt
    Given the upstream has the faults '<faults>'
    When 1 upstream stream is read
    Then 1 upstream call failed with "upstream-failed" and may have been dispatched

    Examples:
      | faults                |
      | {"echo": "r/other/0"} |
      | {"body": "garbage"}   |
      | {"body": "endless"}   |
      | {"breakAfter": 3}     |

  # Guards against calls that hang until the deadline and against ejecting a healthy upstream.
  Scenario: Connections that go silent together are replaced
    Given the upstream has answered 80 calls
    And the upstream has the faults '{"firstMs": 100}'
    When 12 upstream calls are made and the relay goes silent
    Then 12 upstream calls failed with "connection-silent" and may have been dispatched
    And the slowest took less than 1500 ms
    When 12 upstream calls are made
    Then 12 upstream calls were answered

  Scenario: A slow first answer does not look like a silent connection
    Given the upstream has the faults '{"firstMs": 1500}'
    When 1 upstream call is made
    Then 1 upstream call was answered

  Scenario: A reader that stops early cancels the stream
    Given the upstream has the faults '{"tokenMs": 50}'
    When a stream of the upstream is cancelled after 2 tokens
    Then the upstream reports a load of 0 within 500 ms
