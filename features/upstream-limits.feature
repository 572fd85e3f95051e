Feature: Limits that upstreams state for all instances together
  A response may state how many requests per second its upstream accepts from all instances.

  # Guards against instances that ignore the limit, or that each use all of it.
  Scenario: An upstream that states a limit gets no more requests than that from all instances
    Given a platform with the upstreams "u1" and "u2" and 8 daemons
    And "u1" states a limit of "1" requests per second
    When callers send 40 requests per second to all daemons for 9 s
    Then "u1" got at most 11 requests in any 4 s that begin 3 s after its first statement
    And all of the callers were served

  # Guards against statements that only responses to successful requests are read for.
  Scenario Outline: A limit is kept that is stated in responses of an upstream that is "<mode>"
    Given a platform with the upstreams "u1" and "u2" and 3 daemons
    And "u1" is "<mode>" and states a limit of "1" requests per second
    When callers send 20 requests per second to all daemons for 7 s
    Then "u1" got at most 11 requests in any 4 s that begin 3 s after its first statement

    Examples:
      | mode       |
      | full       |
      | breaks-off |

  # Guards against requests that wait for permits that cannot come in time.
  Scenario: Requests beyond the limits of all upstreams are refused at once as not run
    Given a platform with the upstreams "u1" and "u2" and 1 daemons
    And "u1" states a limit of "1" requests per second
    And "u2" states a limit of "1" requests per second
    And 3000 ms pass in real time
    When callers send 10 requests per second to all daemons for 5 s
    Then the refused callers were told to retry, within 500 ms, and their requests did not run
    And at least 20 of the callers were refused
    And at least 7 of the callers were served

  # Guards against owners of limits that register for calls with their first request.
  Scenario: An instance without requests of its own grants permits
    Given a platform with the upstreams "u1" and "u2" and 4 daemons
    And "u1" states a limit of "1" requests per second
    And "u2" states a limit of "1" requests per second
    And 3000 ms pass in real time
    When callers send 10 requests per second to the first daemon for 5 s
    Then at least 7 of the callers were served

  # Guards against a limit that applies to another process at the same address.
  Scenario: A response of another upstream than the expected one states no limit
    Given a platform with the upstreams "u1" and "u2" and 1 daemons
    And "u1" states a limit of "0" requests per second
    And the address of "u1" now belongs to "u3"
    When callers send 10 requests per second to all daemons for 1 s
    Then no permit is asked for at "u3"

  Scenario: Any text is parsed as a limit or as none
    Then each decimal number is parsed as itself and any other text as no limit

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

  # Guards against large stage results that cross between data centres for want of a permit.
  Scenario Outline: A request that a limit displaces stays near its stage results
    Given engines "a1" and "a2" in data centre "a" and "b1", "b2" and "b3" in data centre "b"
    And "a1" states a limit and has no permits
    And "a2" is "<state>"
    When 40 requests with stage results in data centre "a" are dispatched
    Then none of them goes to "a1"
    And those whose home is "a1" go to <engines>

    Examples:
      | state       | engines        |
      | idle        | "a2"           |
      | half full   | other engines  |
      | unreachable | other engines  |

  # Guards against refused callers that return at once into the same shortage.
  Scenario: A request that gets no permit is told to retry later although no wait is known
    Given engines "a1" and "a2" in data centre "a" and "b1", "b2" and "b3" in data centre "b"
    And all engines state a limit and have no permits
    When a request is dispatched
    Then it is refused with a retry delay of at least 300 ms
