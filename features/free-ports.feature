Feature: Ports for the processes of tests

  # Guards against a daemon of one fleet that does not start because another fleet has its port.
  Scenario: Fleets that start at the same time get different ports
    When 40 fleets ask for 50 ports each at the same time
    Then no port was given out twice
