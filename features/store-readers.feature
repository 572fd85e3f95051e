Feature: Few instances read the store for all
  Each call to the store has a price, so a few instances read it and tell the others.

  Scenario: Only the readers call the store while nothing fails
    Given 8 instances follow a table of the store
    When 10000 ms pass at the store
    Then the followed store got at most 40 reads
    When the row "row" becomes "1"
    And 600 ms pass at the store
    Then all instances know "row" as "1"

  Scenario: A removed row is told
    Given 8 instances follow a table of the store
    When 2000 ms pass at the store
    And the row "row" is removed
    And 600 ms pass at the store
    Then all instances know "row" as removed

  # Guards against rows that stay old on all instances because one reader no longer answers.
  Scenario: A frozen reader delays a change by less than two seconds
    Given 8 instances follow a table of the store
    When 3000 ms pass at the store
    And the first reader freezes
    And the row "row" becomes "1"
    And 1900 ms pass at the store
    Then all other instances know "row" as "1"

  Scenario: Readers that the store turns away delay a change by less than two seconds
    Given 8 instances follow a table of the store
    When 3000 ms pass at the store
    And the store turns the readers away
    And the row "row" becomes "1"
    And 1950 ms pass at the store
    Then all other instances know "row" as "1"

  # Guards against removed upstreams that all instances keep since one reader cannot reach the store.
  Scenario: A reader that the store turns away does not make the store look away to the others
    Given 8 instances follow a table of the store
    When 3000 ms pass at the store
    And the store turns the first reader away
    And 4500 ms pass at the store
    Then no instance takes the store for away in the last 3000 ms

  Scenario: A large row is read from the store by each instance
    Given 8 instances follow a table of the store
    When 3000 ms pass at the store
    And the row "row" becomes a text of 100000 bytes
    And 600 ms pass at the store
    Then all instances know "row" as a text of 100000 bytes

  # Guards against one reader that answers the questions of the whole fleet.
  Scenario: The readers of a large fleet share its questions
    Given 64 instances follow a table of the store
    When 10000 ms pass at the store
    Then no instance got more than 40 in 100 of the questions

  # Guards against readers that cannot keep up with the questions of a large fleet.
  Scenario: The readers of a mixed fleet are large instances
    Given 64 instances follow a table of the store, 8 of them with four times the processor time
    Then all readers are large
