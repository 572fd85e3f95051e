Feature: Routing
  Failing and slow upstreams are ejected, at most a third of a service, and return after a probe.

  Scenario: Not more than a third of the upstreams are ejected
    Given a router over 6 upstreams
    When 3 upstreams fail 4 times each
    Then 2 upstreams are ejected

  Scenario: An ejected upstream returns after a probe succeeds
    Given a router over 6 upstreams
    When 1 upstream fails 4 times
    And the clock advances by 1100 ms
    And a "standard" probe succeeds
    Then 0 upstreams are ejected

  Scenario: Urgent work is not used as a probe
    Given a router over 6 upstreams
    When 1 upstream fails 4 times
    And the clock advances by 1100 ms
    Then "urgent" work is not sent as a probe

  Scenario: All routers agree on the home of a prefix
    Given a router over 6 upstreams
    Then two routers send the prefix "kaftan" to the same upstream

  Scenario: A straggler is avoided while its first slow attempt is still in flight
    Given a router over 2 upstreams
    When an upstream has an attempt in flight for 1000 ms
    Then 0 of 20 choices use it

  Scenario: A known straggler is not chosen even if the instance's share of the other limits is used up
    Given a router over 2 upstreams
    When an upstream takes 4 times as long as estimated 2 times
    And the other upstream has 1 attempt in flight
    Then 0 of 20 choices with an eighth of the limits use it

  Scenario: Polls of a large service follow the upstreams in use, not the size of the service
    Given a poller over 1400 upstreams of which 8 are used
    Then it sends at most 13 polls per second

  Scenario: A new upstream gets little traffic at first
    Then an upstream with a slow start has 10% of its slots at first and all after 5000 ms
