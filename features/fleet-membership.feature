Feature: Membership of real processes
  Daemons in separate processes notice that one of them is frozen, killed or restarted.

  Background:
    Given a fleet of 3 daemons that suspect after 1500 ms and declare dead after 3000 ms

  Scenario: A frozen daemon is dead to the others, and alive again after it resumes
    When daemon 3 is frozen
    Then within 8 s daemons 1, 2 see daemon 3 as "dead"
    When daemon 3 is woken
    Then within 8 s daemons 1, 2 see daemon 3 as "alive"
    And within 8 s daemons 3 see daemon 1 as "alive"

  Scenario: A killed daemon is dead, and a restarted one comes back under the same id
    When daemon 3 is killed
    Then within 8 s daemons 1, 2 see daemon 3 as "dead"
    When daemon 3 is started again
    Then within 8 s daemons 1, 2 see daemon 3 as "alive"
    And within 8 s daemons 3 see daemon 1 as "alive"
