Feature: The programs of the daemons
  Each daemon runs as a process of its own.

  Background:
    Given a platform with the upstreams "u1" and "u2" and a daemon

  # Guards against signals that end the process because their handlers are not there yet.
  Scenario: A changed settings file is announced during the start
    When a daemon process is started and gets SIGHUP as soon as it handles signals
    Then the daemon process becomes ready
    And it handled signals in the first half of its start

  Scenario: A stop is asked for during the start
    When a daemon process is started and gets SIGTERM as soon as it handles signals
    Then the daemon process ends with code 0 within its grace period

  Scenario: A stop of the product's own daemon is asked for during the start
    When a daemon of the product is started and gets SIGTERM as soon as it handles signals
    Then the daemon process ends with code 0 within its grace period
