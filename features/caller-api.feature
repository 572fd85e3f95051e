Feature: Callers' API
  Callers reach answers through any instance, and no input of theirs ends the process.

  Scenario: A stream is resumed through another instance
    Given 2 instances
    When a finished answer of instance 1 is resumed through instance 2 after each event
    Then each resumed stream holds exactly the unseen events

  Scenario: A finished answer is read through another instance
    Given 2 instances
    Then instance 2 returns the finished answer of instance 1 whole

  Scenario: A running answer is followed through another instance to its end
    Given 2 instances
    Then instance 2 follows an answer of instance 1 that is still running

  Scenario: An answer is not given to another team
    Given 2 instances
    Then another team gets "unknown-request" for it from instance 1 and instance 2

  Scenario: A position that the answer doesn't have is refused
    Given 2 instances
    Then a resume after event 99 gets "malformed-request" from instance 1 and instance 2

  Scenario: A holder that is lost in the middle of a stream leaves a position to resume from
    Given 2 instances
    Then a stream through instance 2 whose holder is lost ends with "peer-unavailable" and the last id

  Scenario Outline: A compressed stream sends each event at once
    Given 1 instances
    Then with "<coding>" the first token arrives while the upstream waits

    Examples:
      | coding |
      | gzip   |
      | br     |

  Scenario: A caller that disconnects doesn't cancel its request
    Given 1 instances
    Then the answer of a caller that left after the first token is finished

  Scenario: Readiness tells reasons and doesn't refuse requests
    Given 1 instances
    Then an unready instance answers 503 at "/readyz" with its reasons and still serves

  Scenario: A draining instance refuses new requests only
    Given 1 instances
    Then after it began to refuse a new request gets "draining" with Retry-After and the running one ends

  Scenario: A stop doesn't wait for connections that become idle after it began
    Given 1 instances
    Then a stop during a streamed answer takes less than 2000 ms after the answer ends

  Scenario: Credentials are not logged
    Given 1 instances
    Then no log line holds a credential that was sent
