Feature: Scarce stages in a burst
  Many instances submit to the owner of a stage service in bursts above its capacity. What counts
  is that the stages are busy with requests that will be in time, and that no others begin.

  # The instances decide by reports of their own submissions, seconds apart in a burst.
  Scenario: A tight target at one and a half times the capacity of a stage
    Given the class of rank 5 asks for 75 in 100 of the capacity, twice that in the burst, with a target of 1100 ms
    When the bursts are replayed with 1 stage
    Then at least 90 in 100 of the admitted requests of rank 5 are in time
    And at least 80 in 100 of the capacity of 2 pieces is used in time in the burst

  Scenario: Two overlapping bursts at a second stage that is slower than configured
    Given the class of rank 6 asks for 25 in 100 of the capacity, 2.3 and 2.4 times that in the bursts, with a target of 4000 ms
    When the bursts are replayed with 2 stages, the second 1.4 times as slow
    Then at least 90 in 100 of the admitted requests of rank 6 are in time
    And at most 2 in 100 of the admitted requests of rank 6 were begun in vain

  Scenario: A more urgent class does not pay for the burst of another
    Given the class of rank 4 asks for 30 in 100 of the capacity, without a burst, with a target of 1800 ms
    And the class of rank 6 asks for 30 in 100 of the capacity, 2.3 and 2.4 times that in the bursts, with a target of 4000 ms
    When the bursts are replayed with 2 stages
    Then at least 95 in 100 of the requests of rank 4 are in time

  Scenario: Refused callers return in the order of their refusals, as the queue drains
    Given 20 callers whose work takes 40 ms each are refused, 100 ms too late
    Then the first returns after 100 ms and each next one at least 40 ms after the one before
    And 10 callers returning within 700 ms have 400 ms of room

  Scenario: Callers that cannot return in time keep no room
    Given 80 callers whose work takes 40 ms each are refused, 100 ms too late
    Then at most 2000 ms of returns are promised

  Scenario: The room of callers that left is given to others
    Given 20 callers whose work takes 40 ms each are refused, 100 ms too late
    When 5 s pass without a return
    Then no room is kept

  Scenario: A caller that repeats at once gets no earlier time to return
    Given 20 callers whose work takes 40 ms each are refused, 100 ms too late
    When the last caller repeats at once 3 times
    Then its times to return do not fall
