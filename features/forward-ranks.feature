Feature: Order of requests by the ranks of teams and routes

  Scenario: Route ranks order the requests of teams of equal rank
    Then a route of rank 0 goes before one of rank 2 for a team of rank 1
    And a route of rank 2 of a team of rank 0 goes before one of rank 0 of a team of rank 1
    And without a team rank a route of rank 1 goes before one of rank 2
