Feature: Graceful stop
  A planned stop cuts no request, whatever its length.

  Background:
    Given a fleet of 3 daemons with encoder 1, retriever 1, reranker 1, advice 2, booking 1
    And engines that stream for 1000 ms

  Scenario: Daemons stop one after the other while requests stream
    Given a load of 6 callers that follow readiness
    When daemons 1, 2 are stopped one after the other with two signals each
    Then the stopped daemons exit with 0
    And no request of at least 10 was cut or refused

  Scenario: All daemons are replaced under load
    Given a load of 6 callers that follow readiness
    When each daemon is stopped and started again
    Then the stopped daemons exit with 0
    And no request of at least 20 was cut or refused

  Scenario: A request after the balancer's lag is refused, and one in progress ends
    When team "seamstresses" streams from daemon 1 while it stops
    Then a new request to daemon 1 is refused as "draining" with outcome "not-run"
    And the stream is whole

  Scenario: A finished answer stays readable while it is read
    When team "seamstresses" has an answer of daemon 1, which then stops
    Then the answer is read through daemon 2 every 500 ms for 4 s
    And the stopped daemons exit with 0

  Scenario: A stop waits for the claim of an answered request to be finished
    When a booking ends at daemon 1 in a table outage of 5 s, and the daemon stops
    Then the stopped daemons exit with 0
    And the booking resent to daemon 2 is answered with 200
