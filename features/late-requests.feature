Feature: Requests that arrive while a daemon stops
  A daemon serves requests until the balancer has noticed the stop, and ends before its grace period.

  Background:
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And upstreams answer after 5000 ms

  # Guards against run-once work that is cut without an answer at the end of the grace period.
  Scenario: Run-once work that may not end before the daemon does is refused as not run
    When the daemon is stopped and callers ask for "/once/1" after 300, 1800, 2400, 3500 and 5000 ms
    Then the caller after 300 ms got status 200
    And the callers after 1800, 2400, 3500 and 5000 ms got status 503 at once with a retry delay
    And one request ran

  # Guards against requests that are taken late and cut without an answer.
  Scenario: No request is cut without an answer
    When the daemon is stopped and callers ask for "/plain/1" after 300, 1800, 2400, 3500 and 5000 ms
    Then every caller got an answer
