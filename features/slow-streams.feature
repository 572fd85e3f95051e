Feature: Slow streams
  A stream that goes on is kept, however slow its engine or its caller is.

  # Guards against a stream that is taken for stalled while the caller has not read its last part.
  Scenario: A caller that reads slowly does not make its stream look stalled
    Given an upstream that streams events
    When an attempt with a quiet time of 300 ms is relayed to a caller that stops reading for 900 ms
    Then the attempt is relayed

  Scenario: A stream that stalls is given up after its quiet time
    Given an upstream that streams events
    And the upstream stalls after its first bytes
    When an attempt with a quiet time of 300 ms is relayed to a caller that stops reading for 0 ms
    Then the attempt is broken

  # Guards against streams that are run again elsewhere for pauses that their callers accept.
  Scenario: A stream whose route allows long pauses is not resumed elsewhere
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And upstreams answer after 2000 ms
    When a caller asks for "/stream/patient/1"
    Then the caller gets status 200 and 5 whole events
    And one request ran
