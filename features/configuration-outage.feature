Feature: Configuration currency in a table outage
  In a large fleet each instance hears from a few others only, and still must know whether it is
  connected to more than half of the fleet.

  Scenario Outline: An outage seen by all stops nobody
    Given <count> followers on an in-memory network
    When the table of the followers is down for 30 s
    Then all followers were ready the whole time

    Examples:
      | count |
      | 8     |
      | 64    |

  Scenario Outline: A region cut off from the table and the rest stops being ready
    Given <count> followers on an in-memory network
    And followers of region 2 missed version 2
    When the table of the followers is down and region 2 is cut for 12 s
    Then the followers of region 2 are unready on version 1
    And the other followers are ready on version 2
    When region 2 is joined for 20 s
    Then all followers are ready on version 2 and none went back

    Examples:
      | count |
      | 8     |
      | 64    |
