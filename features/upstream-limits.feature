Feature: Limits that upstreams state for all instances together
  A response may state how many requests per second its upstream accepts from all instances.

  # Guards against instances that ignore the limit, or that each use all of it.
  Scenario: An upstream that states a limit gets no more requests than that from all instances
    Given a platform with the upstreams "u1" and "u2" and 8 daemons
    And "u1" states a limit of "1" requests per second
    When callers send 40 requests per second to all daemons for 9 s
    Then "u1" got at most 11 requests in any 4 s that begin 3 s after its first statement
    And all of the callers were served

  Scenario Outline: Stated limits are parsed as requests per second
    Then the limit "<text>" is parsed as "<perSecond>" requests per second

    Examples:
      | text       | perSecond |
      | 1          | 1         |
      | 0.25       | 0.25      |
      | 12.5       | 12.5      |
      | 0          | 0         |
      |  3         | 3         |
      |            | none      |
      | -1         | none      |
      | 1e3        | none      |
      | 1, 2       | none      |
      | NaN        | none      |
      | Infinity   | none      |
      | 9999999999 | none      |
      | many       | none      |

  # Guards against logs that do not tell instances that ignore a limit from those that learn it late.
  Scenario: The log tells what an upstream stated and what was sent to it afterwards
    Given an instance that logs its decisions
    When a response of "u" states a limit of 2 requests per second
    And 200 ms later a request that waits 100 ms for a permit is sent to "u"
    And 600 ms later a request that waits 100 ms for a permit is sent to "u"
    Then the log has the lines
      | message          | upstream | perSecond | ageMs | receiver | owner | kind    | availableInMs |
      | upstream limit   | u        | 2         |       | i0       |       |         |               |
      | permit refused   | u        | 2         | 150   | i0       | i0    |         | 401           |
      | sent under limit | u        | 2         | 750   | i0       | i0    | request |               |
