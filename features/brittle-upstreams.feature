Feature: Upstreams that end when they turn too many requests away
  A brittle upstream states how many requests it may turn away in a second before it ends.

  # Guards against a flood that ends one upstream after the other.
  Scenario Outline: Brittle upstreams bear a flood
    Given 4 daemons before 6 upstreams with 4 slots that bear <tolerated> rejections per second
    When callers send 300 requests per second for 6 s
    Then the upstreams end at most 2 times after the first 3 s
    And the upstreams serve at least 100 requests per second after the first 3 s

    Examples:
      | tolerated |
      | 3         |
      | 10        |
