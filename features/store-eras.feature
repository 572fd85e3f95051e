Feature: Rows across eras of the store
  A new era of the store begins when it comes back from a copy; versions are only ordered within one.

  # Guards against instances that keep the versions of a former era, and against rows that come back older.
  Scenario Outline: All instances have the newest row soon after the store comes back
    Given <instances> instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And a copy of the fleet's store is made
    And the row "row" becomes "1"
    And the row "other" becomes "<others>"
    And 3000 ms pass on the fleet's clock
    And the fleet's store is away for <outage> ms and comes back from the copy, <times> times
    And 500 ms pass on the fleet's clock
    And the row "row" becomes "2"
    And 2700 ms pass on the fleet's clock
    Then all instances know "row" as "2"
    And no instance has known an older text of a row after a newer one

    Examples:
      | instances | others | outage | times |
      | 8         | 1      | 0      | 1     |
      | 8         | 1      | 2000   | 1     |
      | 8         | 1      | 2000   | 2     |
      | 62        | 1      | 2000   | 1     |
      | 195       | 1      | 2000   | 1     |
      | 370       | 1      | 2000   | 2     |

  # Guards against a fleet that reads the store all at once when it is back; it serves 2,000 reads per second.
  Scenario: The readers read the store when it is back, and the others query them
    Given 370 instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And a copy of the fleet's store is made
    And the row "row" becomes "1"
    And 3000 ms pass on the fleet's clock
    And the fleet's store is away for 0 ms and comes back from the copy, 1 times
    And the reads of the fleet's store are counted from now
    And 1000 ms pass on the fleet's clock
    Then the store of the fleet received at most 2000 reads
