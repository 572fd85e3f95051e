Feature: Placement
  The models of engines follow the demand within memory, the weight store's rate and the budget.

  Background:
    Given engines e1 and e2 for advice, which may hold advice and chat
    And a and b decide placement

  Scenario: A model in demand gets an engine that it may evict from
    Given the demand is 20% advice and 90% chat
    When 30000 ms pass
    Then the plan is "e1 chat"

  Scenario: An engine with memory for both models keeps both
    Given the engines have memory for both models
    And the demand is 20% advice and 90% chat
    When 30000 ms pass
    Then the plan is "e1 chat,advice; e2 chat,advice"

  Scenario: A model that is larger than the memory is not placed
    Given the engines have memory for neither model
    And the demand is 20% advice and 90% chat
    When 30000 ms pass
    Then the plan is ""

  Scenario: Background work takes no engine from urgent work
    Given the demand is 150% advice and 150% background chat
    When 30000 ms pass
    Then the plan is ""

  Scenario: An engine is not loaded again within a minute
    Given the demand is 20% advice and 90% chat
    When 30000 ms pass
    And the demand is 190% advice and 0% chat
    And 30000 ms pass
    Then the plan is "e1 chat"
    And a or b logged that "load advice" is withheld as "the last load is less than 60000 ms ago"
    When 40000 ms pass
    Then the plan is "e1 advice"

  Scenario: A plan that the table refused is written at the next turn
    Given the demand is 20% advice and 90% chat
    When 4000 ms pass
    And the table refuses the next renewal and the next plan
    And 3000 ms pass
    Then the plan is ""
    When 10000 ms pass
    Then the plan is "e1 chat"

  Scenario: A decider that did not see the last plan does not overwrite it
    Given the demand is 20% advice and 90% chat
    When 30000 ms pass
    And a plan based on the version before is written late
    Then the plan is "e1 chat"
