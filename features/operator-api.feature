Feature: Operators' API
  Operators see the state of an instance and change the configuration.

  Background:
    Given 1 instances

  Scenario: An unknown credential is refused
    Then an operator with an unknown credential gets 401 from every route

  Scenario: Status shows version, readiness and upstreams
    Then the status has version 1, 5 upstreams and is ready

  Scenario: A target is set once for a change id
    When the target of "chat" is set to 2500 ms and 0.8 with a lost answer and sent again
    Then version 2 is in force with that target and the history has 1 change

  Scenario: A stale base version is refused
    Then a change of version 7 gets 409 "stale-base-version"

  Scenario: A dry check changes nothing
    Then a dry check of an upstream of an unknown service gets 422 and version 1 stays in force

  Scenario: A removed upstream is marked as leaving first
    Then removing upstream "advice-1" marks it as leaving and removing it now deletes it

  Scenario: A wrong body is refused with field, value and what is allowed
    Then a target with share 1.5 is refused with "share: 1.5 is not allowed: Too big"
    And an update of a class without rank is refused with "updates.0.entry.rank: no value"

  Scenario: Malformed input gets a 4xx problem
    Then any operator body gets an answer below 500
