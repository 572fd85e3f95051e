Feature: A few instances read the store for the whole fleet
  Each call to the store is charged, so a few instances read it and the others query them.

  Scenario: Only the readers call the store while nothing fails
    Given 8 instances follow a table of the store
    When 10000 ms pass on the fleet's clock
    Then the store of the fleet received at most 40 reads
    When the row "row" becomes "1"
    And 600 ms pass on the fleet's clock
    Then all instances know "row" as "1"

  Scenario: The removal of a row reaches all instances
    Given 8 instances follow a table of the store
    When 2000 ms pass on the fleet's clock
    And the row "row" is removed
    And 600 ms pass on the fleet's clock
    Then all instances know "row" as removed

  # Guards against rows that stay outdated on all instances because one reader no longer answers.
  Scenario: A frozen reader delays a change by less than two seconds
    Given 8 instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And the first reader freezes
    And the row "row" becomes "1"
    And 1900 ms pass on the fleet's clock
    Then all other instances know "row" as "1"

  Scenario: Readers without answers from the store delay a change by less than two seconds
    Given 8 instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And the store stops answering the readers
    And the row "row" becomes "1"
    And 1950 ms pass on the fleet's clock
    Then all other instances know "row" as "1"

  # Guards against rows that an older answer of another instance puts back, and that are then taken for the newest.
  Scenario Outline: An older answer of another instance that comes <order> does not undo a newer one
    Given an instance whose row is "0" as of version 1 and whose reads of the store then fail
    And another instance answers with "2" as of version 3 after <newer> ms
    And another instance answers with "1" as of version 2 after <older> ms
    When it has asked both
    Then its row is "2" as of version 3
    And it answers a query for what follows version 1 with "2" as of version 3

    Examples:
      | order | newer | older |
      | first | 20    | 10    |
      | last  | 10    | 20    |

  # Guards against all instances keeping removed upstreams because one reader cannot reach the store.
  Scenario: A reader without answers from the store does not make the others record a failure
    Given 8 instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And the store stops answering the first reader
    And 4500 ms pass on the fleet's clock
    Then no instance records a failure of the store in the last 3000 ms

  Scenario: A large row is read from the store by each instance
    Given 8 instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And the row "row" becomes a text of 100000 bytes
    And 600 ms pass on the fleet's clock
    Then all instances know "row" as a text of 100000 bytes

  # Guards against one reader answering the queries of the whole fleet.
  Scenario: The queries of a large fleet are spread over its readers
    Given 64 instances follow a table of the store
    When 10000 ms pass on the fleet's clock
    Then no instance received more than 40 in 100 of the queries

  # Guards against small readers that cannot keep up with the queries of a large fleet.
  Scenario: The readers of a mixed fleet are large instances
    Given 64 instances follow a table of the store, 8 of them with four times the cores
    Then all readers are large
