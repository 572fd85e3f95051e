Feature: Share of a limit
  Instances divide a service's limit by the demand within the fair shares of their teams.

  Scenario: Capacity that small demands leave goes to larger demands
    Then demands of 1, 4 and 9 share a capacity of 10 as 1, 4 and 5

  Scenario: A demand meter that has just started reports the full rate
    Given an instance that is offered 2000 ms of work per second by team "agdal" for 500 ms
    Then its digest reports between 1900 and 2100 ms per second for team "agdal"

  Scenario: Only part of the work of a team with excess demand is within its fair share
    Given an instance that is offered 500 ms of work per second by team "erfoud" for 2000 ms
    And it is offered 8000 ms of work per second by team "agdal" for 2000 ms
    Then of 4 slots more than 0.3 and less than 0.5 of the work of team "agdal" is fair
    And of 4 slots more than 0.99 and less than 1.01 of the work of team "erfoud" is fair

  Scenario: Without the reports of all instances the limit is divided evenly
    Given an instance that is offered 1000 ms of work per second by team "agdal" for 2000 ms
    And 4 live instances of which 2 report 1000 ms of work per second
    Then its share of 8 slots is between 0.249 and 0.251

  Scenario: An instance with more fair demand gets a larger share
    Given an instance that is offered 3000 ms of work per second by team "agdal" for 2000 ms
    And 2 live instances of which 1 reports 1000 ms of work per second
    Then its share of 8 slots is between 0.66 and 0.74
