Feature: Admission of a flood beyond the scarcest stage
  The load is a burst of eight times the usual rate for 6 s, before two stages of which the second one
  makes 41 requests a second, with a target of 4 s and results that are kept for 4 s.

  Scenario: Requests that cannot meet their target are refused so that the others do
    When the flood is replayed without admission
    And the flood is replayed with admission
    Then admission serves more requests within their target
    And at least 80 in 100 of what the second stage can make is served in time
    And at most 10 in 100 of the admitted requests miss it
    And during the burst at least 80 in 100 of what the second stage can make is served in time

  # Guards against calls that are filled with work that is late anyway, which makes all later work late.
  Scenario: Work that can still meet its target goes before work that has lost it
    When the flood is replayed without admission
    Then without admission at least 60 in 100 of what the second stage can make is served in time

  Scenario: What was admitted counts although it has not reached the second stage
    When the flood is replayed with admission by the queues alone
    And the flood is replayed with admission
    Then fewer admitted requests miss their target

  Scenario: Without a flood nothing is refused
    When the usual rate is replayed with admission
    Then no request is refused
