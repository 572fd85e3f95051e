Feature: Leases
  At most one instance holds the lease of a group, also when its holder is paused or cut off.

  Background:
    Given a and b are candidates for a lease of 10 s

  Scenario: A renewed lease stays with its holder
    When a and b try for 60 s
    Then a holds the lease with number 1

  Scenario: A lease passes on after its whole duration without renewal
    When a and b try for 10 s
    And b tries for 9 s
    Then nobody holds the lease
    When b tries for 3 s
    Then b holds the lease with number 2

  Scenario: A paused holder that wakes does not use its lease
    When a and b try for 10 s
    And b tries for 15 s
    Then a cannot send an order
    When a and b try for 5 s
    Then b holds the lease with number 2

  Scenario: An answer that arrives after a pause does not bring the lease back
    Given the next transaction takes effect at once and is answered after 500 ms
    When a tries while a pause drops its lease
    Then nobody holds the lease
