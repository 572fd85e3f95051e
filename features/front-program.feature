Feature: The program of a daemon on the platform
  The daemon runs as a process of its own.

  # Guards against signals that end the process because their handlers are not there yet.
  Scenario: A changed settings file is announced during the start
    Given a platform with the upstreams "u1" and "u2" and a daemon
    When a daemon process is started and gets SIGHUP after 200 ms
    Then the daemon process becomes ready

  Scenario: A stop is asked for during the start
    Given a platform with the upstreams "u1" and "u2" and a daemon
    When a daemon process is started and gets SIGTERM after 200 ms
    Then the daemon process ends with code 0 within its grace period
