Feature: Bounds of what callers take
  Memory and descriptors that callers take are bounded; what is accepted is not ended for them.

  Scenario: Requests that are sent ahead start one after the other
    Given a connection on which 2 requests may wait
    When 3 requests arrive on it at once
    Then the requests that have started are 1
    When the response to request 1 ends
    Then the requests that have started are 1, 2
    When the response to request 2 ends
    And the response to request 3 ends
    Then the requests that have started are 1, 2, 3

  Scenario: A connection with too many requests sent ahead is closed, with a log line for its team
    Given a connection on which 2 requests may wait
    When 4 requests arrive on it at once
    Then the connection is closed, and "requests-ahead" of team "one" is logged

  Scenario: Above the limit the connection that is longest without a request is closed
    Given at most 2 connections of callers
    When connection "a" opens
    And connection "b" opens
    And connection "a" has a request in progress
    And connection "c" opens
    Then only "b" is closed
    When connection "c" has a request in progress
    And connection "d" opens
    Then only "b, d" is closed

  Scenario: An unfinished body of the team that holds most gives way to another team's
    Given 200000 bytes of memory for all bodies
    And unfinished bodies of 50000 and 20000 bytes of team "one"
    And a whole body of 120000 bytes of team "one"
    When a body of 60000 bytes of team "two" arrives
    Then it is read whole
    And the bodies of 50000 bytes are refused as not run

  # Guards against a body that is passed on empty.
  Scenario: A body that ends in the turn in which another one needs its memory is kept
    Given 200000 bytes of memory for all bodies
    When a body of 120000 bytes of team "one" ends as 120000 bytes of team "two" are reserved
    Then the body has 120000 bytes, and the others were not reserved

  Scenario: A body of the team that holds most is refused for no other one of its team
    Given 200000 bytes of memory for all bodies
    And unfinished bodies of 120000 and 50000 bytes of team "one"
    When a body of 60000 bytes of team "one" arrives
    Then it is refused as not run

  Scenario: An unread response is closed when memory is short and its caller has not read for long
    Given 100000 bytes of memory for all bodies
    And a response of 110000 bytes that team "one" does not read
    When a body of 60000 bytes of team "two" arrives
    Then it is refused as not run
    When 5000 ms pass without a read
    And a body of 60000 bytes of team "two" arrives
    Then it is read whole
    And the response is closed, and "unread-response" of team "one" is logged

  Scenario: Shares of callers follow from the limits of the process
    Then with 350 MB and 4100 descriptors callers get at least 1000 connections
    And with 350 MB and 400 descriptors callers get at most 160 connections
    And with 100 MB and 4100 descriptors callers get at most 400 connections
