Feature: Signals during the start of a daemon
  Each daemon runs in its own process.

  Background:
    Given a platform with the upstreams "u1" and "u2" and a daemon

  # Guards against signals that end the process before their handlers are installed.
  Scenario: A reload is requested during the start
    When a daemon process is started and gets SIGHUP as soon as it handles signals
    Then the daemon process becomes ready
    And its signal handlers were installed in the first half of its start

  Scenario: A stop is requested during the start
    When a daemon process is started and gets SIGTERM as soon as it handles signals
    Then the daemon process ends with code 0 within its grace period

  Scenario: A stop of the product's own daemon is requested during the start
    When a daemon of the product is started and gets SIGTERM as soon as it handles signals
    Then the daemon process ends with code 0 within its grace period
