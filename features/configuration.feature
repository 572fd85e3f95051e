Feature: Configuration changes
  An accepted change is in force everywhere within seconds, and no instance ever goes back.

  Background:
    Given instances a, b, c follow the configuration

  Scenario: A change is in force at all instances at once
    When amal submits "change-1" on version 1 through a
    Then the operators are told "accepted 2"
    And instances a, b, c hold version 2

  Scenario: One of two racing operators wins and the other learns which
    When amal through a and badr through b submit on version 1 at the same time
    Then the operators are told "accepted 2; stale-base-version: version 2 is another change by amal, change id change-1"

  Scenario: A change id is accepted once
    When amal submits "change-1" on version 1 through a
    And amal submits "change-1" on version 1 through b
    Then the operators are told "accepted 2; accepted 2"
    And the head is version 2

  Scenario: A change whose answer was lost is found by its change id
    Given the answers of the next 2 transactions are lost
    When amal submits "change-1" on version 1 through a
    Then the operators are told "accepted 2"
    And instances a, b, c hold version 2

  Scenario: A change that was answered as not accepted does not take effect later
    Given the next 2 transactions take effect after 6000 ms
    When amal submits "change-1" on version 1 through a
    And 10000 ms pass
    Then the operators are told "change-not-accepted: the change id is closed; use a new one"
    And the head is version 1

  Scenario: An outage leaves the change open until the same id is asked for again
    Given the next transaction takes effect after 6000 ms
    And the table refuses 3 transactions after the next
    When amal submits "change-1" on version 1 through a
    And 10000 ms pass
    And amal submits "change-1" on version 1 through a
    Then the operators are told "table-uncertain; accepted 2"

  Scenario: A change that does not fit is refused
    When amal submits "change-1" removing service "encoder" on version 1 through a
    Then the operators are told "invalid-configuration"
    And the head is version 1

  Scenario: A lower or repeated version is not adopted
    When amal submits "change-1" on version 1 through a
    And amal submits "change-2" on version 2 through a
    And b hears of "change-1" again
    And b is given the snapshot of version 1
    Then b adopted "1, 2, 3"

  Scenario: A gap is filled in order
    Given c is cut off from peers and table
    When amal submits "change-1" on version 1 through a
    And amal submits "change-2" on version 2 through a
    And c is connected to peers only
    And amal submits "change-3" on version 3 through a
    And 1000 ms pass
    Then c adopted "1, 2, 3, 4"

  Scenario: Instances learn of changes from the table when broadcasts are lost
    Given broadcasts are lost
    And c is cut off from peers
    When amal submits "change-1" on version 1 through a
    And 1600 ms pass
    Then instances a, b, c hold version 2

  Scenario: A snapshot bounds what a new instance reads
    When amal submits 60 changes through a
    And instance d starts
    Then d adopted "61"
    And the newest snapshot is version 50
    And the history of 3 changes through a is "61, 60, 59"

  Scenario: A table outage leaves every instance ready
    Given the table is down
    When 20000 ms pass
    Then instances a, b, c are ready

  Scenario: A minority that is cut off from peers and table stops being ready
    Given c is cut off from peers and table
    When 4000 ms pass
    Then instances a, b, c are ready
    When 2000 ms pass
    Then instances a, b are ready
    And instance c is unready
    When c is connected to peers only
    And 500 ms pass
    Then instances a, b, c are ready

  Scenario: A pair that is cut off from the others and the table stops being ready
    Given instances a, b, c, d, e follow the configuration
    And d is cut off from peers and table
    And e is cut off from peers and table
    When 6000 ms pass
    Then instances a, b, c are ready
    And instances d, e are unready

  Scenario: A new instance is unready until it holds the version of its peers
    Given the table is down
    And d is cut off from peers
    When instance d starts
    Then instance d is unready
    When d is connected to peers only
    And 1000 ms pass
    Then instances a, b, c, d are ready
    And instances a, b, c, d hold version 1

  Scenario Outline: A row of another program version is read or refused, and nothing ends
    Given the row <row> holds <value>
    When 3000 ms pass
    Then instances a, b, c hold version <version>
    And the newest configuration is <result>

    Examples:
      | row                     | value                                                                        | version | result                  |
      | head                    | {"version":1,"snapshot":1,"region":"x"}                                      | 1       | version 1               |
      | head                    | {"version":2}                                                                | 1       | invalid-configuration   |
      | head                    | no json                                                                      | 1       | invalid-configuration   |
      | snapshot#0000000001     | {"shape":"new"}                                                              | 1       | invalid-configuration   |
