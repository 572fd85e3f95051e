Feature: The evacuation of a data centre
  While the operator evacuates a data centre, no instance sends anything to the upstreams there.

  # Guards against rows of earlier deployments, or of other meaning, that evacuate something.
  Scenario Outline: The key of the row names the data centre
    Then the operator's row "<key>" evacuates "<data centre>"

    Examples:
      | key             | data centre |
      | evacuate/b      | b           |
      | evacuate/       |             |
      | evacuate/b/c    |             |
      | evacuate        |             |
      | evacuated/b     |             |
      | config          |             |
      | quota/evacuate/ |             |

  Scenario: Services and all counts of upstreams are left with the other data centres
    Given "u1" of data centre "a", "u2" and "u3" of data centre "b"
    When the evacuation of "b" begins
    Then requests may go to "u1"
    And the service counts 1 upstream and may probe "u1"
    When the evacuation of "a" begins
    Then requests may go to ""
    And the service counts 0 upstreams and may probe ""
    And requests with pieces for it are refused at once
    When the evacuation of "b" ends after 700 ms
    Then requests may go to "u2,u3"
    And the evacuation of "b" ended 0 ms ago, and that of "a" goes on

  # Guards against requests that were selected, or waited for a connection, before the start.
  Scenario Outline: What was selected before the start is not sent after it
    Given "u1" of data centre "a", "u2" and "u3" of data centre "b"
    And a <kind> is about to go to "u2"
    When the evacuation of "b" begins
    Then it is not sent, and counted as withheld
    And a crash of "u2" is not probed

    Examples:
      | kind       |
      | request    |
      | stage-call |
      | release    |

  # Guards against connections to an evacuated data centre whose upstreams are not listed any more.
  Scenario Outline: Results are not released to <where> upstream during an evacuation
    Given "u1" of data centre "a", "u2" and "u3" of data centre "b"
    When the evacuation of "b" begins
    And results at <where> upstream are released
    Then <count> connections are opened for it

    Examples:
      | where         | count |
      | a serving     | 1     |
      | an evacuated  | 0     |
      | an unlisted   | 0     |

  Scenario: An upstream that is listed during the evacuation gets nothing either
    Given "u1" of data centre "a", "u2" and "u3" of data centre "b"
    When the evacuation of "b" begins
    And "u4" of data centre "b" is listed
    Then requests may go to "u1"

  Scenario: The row is read, and its removal too
    Given 2 instances that follow the operator's table
    When the operator evacuates "b"
    And 1000 ms pass for both
    Then "b" is evacuated at both
    When the operator takes the evacuation of "b" back
    And 1000 ms pass for both
    Then nothing is evacuated at both

  # Guards against an instance that only learns configurations from others.
  Scenario: An instance that the store turns away learns the start and the end from the other one
    Given 2 instances that follow the operator's table
    When the store turns the first instance away
    And the operator evacuates "b"
    And 5000 ms pass for both
    Then "b" is evacuated at both
    When the operator takes the evacuation of "b" back
    And 5000 ms pass for both
    Then nothing is evacuated at both

  Scenario: The evacuation stays in force while the store is away
    Given 2 instances that follow the operator's table
    When the operator evacuates "b"
    And 1000 ms pass for both
    And the store turns both instances away
    And 60000 ms pass for both
    Then "b" is evacuated at both

  # Guards against requests before the rows are read again.
  Scenario: An instance that starts during an evacuation knows it once it serves
    Given 2 instances that follow the operator's table
    When the operator evacuates "b"
    And 1000 ms pass for both
    And the first instance starts again
    Then it does not serve
    When 50 ms pass for both
    Then it serves
    And "b" is evacuated at both

  Scenario: An instance that starts while the store turns it away learns it from the other one
    Given 2 instances that follow the operator's table
    When the operator evacuates "b"
    And 1000 ms pass for both
    And the store turns the first instance away
    And the first instance starts again
    And 4000 ms pass for both
    Then it serves
    And "b" is evacuated at both

  # Guards against removals that only the history tells.
  Scenario Outline: A store that forgot its history tells the <change> by its rows
    Given 2 instances that follow the operator's table
    When the operator evacuates "<before>"
    And 1000 ms pass for both
    And the store turns both instances away
    And the operator takes the evacuation of "<before>" back
    And the operator evacuates "<after>"
    And the store forgets its history and answers both again
    And 4000 ms pass for both
    Then "<after>" is evacuated at both

    Examples:
      | change | before | after |
      | change | b      | c     |
      | start  | x      | b     |

  # Guards against sending to a data centre only because the store came back older.
  Scenario: An evacuation that a copy of the store lacks stays in force until it is written again
    Given 2 instances that follow the operator's table
    And a copy of their store is made
    When the operator evacuates "b"
    And 1000 ms pass for both
    And their store comes back from the copy
    And 9000 ms pass for both
    Then "b" is evacuated at both
    When the operator evacuates "b"
    And 20000 ms pass for both
    Then "b" is evacuated at both
    When the operator takes the evacuation of "b" back
    And 1000 ms pass for both
    Then nothing is evacuated at both

  # Guards against a data centre that is unused for ever.
  Scenario: An evacuation that a copy of the store lacks ends if it is not written again
    Given 2 instances that follow the operator's table
    And a copy of their store is made
    When the operator evacuates "b"
    And 1000 ms pass for both
    And their store comes back from the copy
    And 12000 ms pass for both
    Then nothing is evacuated at both

  # Guards against taking a removal after the copy for a difference to it.
  Scenario: An evacuation that came back with a copy ends at once when it is taken back again
    Given 2 instances that follow the operator's table
    When the operator evacuates "b"
    And 1000 ms pass for both
    And a copy of their store is made
    And the operator takes the evacuation of "b" back
    And 1000 ms pass for both
    And their store comes back from the copy
    And 2000 ms pass for both
    Then "b" is evacuated at both
    When the operator takes the evacuation of "b" back
    And 1000 ms pass for both
    Then nothing is evacuated at both

  # Guards against an instance that serves by what it knew before its machine stood still.
  Scenario: An instance that was frozen over the start, and over the end, serves by neither
    Given 2 instances that follow the operator's table
    When the first instance is frozen
    And the operator evacuates "b"
    And 8000 ms pass for both
    And the first instance wakes 8000 ms late
    Then within 4000 ms it handles requests, and none unless "b" is evacuated there
    When the first instance is frozen
    And the operator takes the evacuation of "b" back
    And 8000 ms pass for both
    And the first instance wakes 8000 ms late
    Then within 4000 ms it handles requests, and none unless "" is evacuated there

  # Guards against instances that learn too late while the store turns a third of the fleet away.
  Scenario Outline: <instances> instances know the start and the end in time while the store turns many away
    Given <instances> instances follow a table of the store
    When 3000 ms pass on the fleet's clock
    And the store stops answering 35 in 100 instances, among them <readers> of its readers
    And 6000 ms pass on the fleet's clock
    And the row "evacuate/b" becomes "1"
    And 5000 ms pass on the fleet's clock
    Then all instances know "evacuate/b" as "1"
    When the row "evacuate/b" is removed
    And 5000 ms pass on the fleet's clock
    Then all instances know "evacuate/b" as removed

    Examples:
      | instances | readers |
      | 8         | 1       |
      | 64        | 1       |
      | 64        | 4       |
      | 89        | 6       |
      | 300       | 19      |

  Scenario: Over sockets, upstreams of an evacuated data centre get nothing until it ends
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And "u2" is in data centre "b"
    When the operator evacuates "b" and 1300 ms pass
    And 8 callers ask for "/plain/1" in turn
    Then all of them got status 200
    When 8 callers ask for "/stream/staged/1" in turn
    Then all of them got status 200
    And "u2" got nothing since then
    When the operator evacuates "a" and 1300 ms pass
    And 3 callers ask for "/stream/staged/1" in turn
    Then the last of them got status 503 within 500 ms
    When the operator takes the evacuation of "b" back and 1300 ms pass
    And 4 callers ask for "/plain/1" in turn
    Then all of them got status 200
