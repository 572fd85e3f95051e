Feature: Sound upstreams that are silent for a second
  A sound upstream may send nothing for a second or so and go on.

  # Guards against streams that are given up, or begun again, because of a short silence.
  Scenario: A stream whose upstream is silent for a second goes on there
    Given 1 daemons before 2 engines of version "v1" and 2 of version "v1"
    And all engines are silent for 1000 ms between two events
    When 10 callers receive streams and resume those that break off
    Then every stream is whole
    And no event is missing or comes twice
    And the engines ran 10 requests

  # Guards against keep-alive probes that end a connection earlier than its time limit says.
  Scenario: Connections to upstreams have no keep-alive probes
    When a connection to an upstream is idle for 200 ms
    Then the system has no timer for it
