Feature: Orders to engines
  An engine follows the orders of one holder at a time and ends with the wanted models.

  Scenario: A holder that is paused before it sends an order does not send it
    Given an engine that ignores fencing numbers
    And a wants "advice" and needs 1000 ms to connect and does not notice pauses
    When a is paused while it connects and b that wants "chat" takes over
    And a runs on
    And 10000 ms pass
    Then every order that was sent has number 2

  Scenario: A holder drops its leases when it notices a pause
    Given an engine that ignores fencing numbers
    And a wants "advice"
    When a is paused for 3000 ms
    Then a holds no lease

  Scenario: A new holder waits for an order of the old one
    Given an engine that ignores fencing numbers
    And a wants "advice" and its first order takes 25000 ms
    When a is killed and b that wants "chat" takes over
    And 50000 ms pass
    Then the orders took effect in the order of their numbers
    And the engine holds "chat"
    And b logged that it withheld "load chat" as "an earlier order may be under way"

  Scenario: An order that is later than every bound does not last
    Given an engine that ignores fencing numbers
    And a wants "advice" and its first order takes 100000 ms
    When a is killed and b that wants "chat" takes over
    And 86700 ms pass
    Then the engine holds "chat,advice"
    When 6000 ms pass
    Then the engine holds "chat"

  Scenario: An engine that checks the number gets orders at once and refuses late ones
    Given an engine that checks fencing numbers
    And a wants "advice" and its first order takes 25000 ms
    When a is killed and b that wants "chat" takes over
    And 6000 ms pass
    Then the engine holds "chat"
    When 30000 ms pass
    Then the engine holds "chat"
    And only number 2 took effect

  Scenario: An order whose answer was lost is not overtaken by the next one
    Given an engine that ignores fencing numbers
    And the answer of the next order is lost
    And a wants "advice" and its first order takes 25000 ms
    When 8000 ms pass
    And a wants "chat" from now on
    And 60000 ms pass
    Then the engine holds "chat"
    And the first order that took effect is "load advice"

  Scenario: A holder whose number is refused gives the lease up
    Given an engine that checks fencing numbers
    And the engine has seen number 9
    And a wants "advice"
    When 6000 ms pass
    Then a holds no lease

  Scenario: No order is sent after an outage of the table has outlasted the lease
    Given an engine that ignores fencing numbers
    And a wants "advice"
    When 10000 ms pass
    And the table is down
    And 15000 ms pass
    And a wants "chat" from now on
    And 30000 ms pass
    Then the engine holds "advice"
    When the table is up
    And 60000 ms pass
    Then the engine holds "chat"

  Scenario: Instances that race, pause and disagree never overtake each other
    Then in 30 random runs the orders took effect in the order of their numbers

  Scenario: Another instance takes over when the holder is killed
    Given a fleet of 3 daemons that give orders to 1 engine
    When the holder of the engine's lease is killed and the engine loses its model
    Then the engine holds its model again within 12000 ms by an order with a higher number
