Feature: Ranks of requests on the platform

  Scenario: Where every team has a rank, the ranks of the routes still order its requests
    Then a route of rank 0 goes before one of rank 2 for a team of rank 1
    And a route of rank 2 of a team of rank 0 goes before one of rank 0 of a team of rank 1
    And without a rank of the team a route of rank 1 goes before one of rank 2
