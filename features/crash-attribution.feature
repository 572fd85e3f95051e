Feature: Crash attribution
  A request that crashes upstreams crashes at most two of them, and no other request is refused for long.

  # Guards against resends that crash one upstream each, through any instance.
  Scenario Outline: Resends of a poison request through all instances crash two upstreams
    Given 8 instances over 12 upstreams that a poison request crashes after <crash> ms
    When innocent requests run and poison is sent 16 times, one every <resend> ms
    Then 2 upstreams crashed and poison ends as "request-convicted"
    And every innocent request was answered and none was refused as a suspect

    Examples:
      | crash | resend |
      | 20    | 2000   |
      | 20    | 50     |
      | 300   | 100    |

  # Guards against convicting a suspect for the crash of another one's trial.
  Scenario: Three poison requests do not convict others
    Given 8 instances over 12 upstreams that a poison request crashes after 20 ms
    When innocent requests run and 3 poison contents are sent 16 times, one every 500 ms
    Then at most 6 upstreams crashed and poison ends as "request-convicted"
    And every innocent request was answered and none was refused as a suspect

  # Guards against a crash for every resend when the first copies were sent at the same time.
  Scenario: Copies that were sent at the same time crash one upstream each and one more later
    Given 8 instances over 12 upstreams that a poison request crashes after 20 ms
    When innocent requests run and poison is sent 3 times, one every 0 ms
    And innocent requests run and poison is sent 30 times, one every 7000 ms
    Then at most 4 upstreams crashed and poison ends as "request-convicted"

  Scenario: A suspect that completes is acquitted on all instances
    Given 2 instances with crash attribution
    When "silk" of instance 1 was in progress on an upstream that crashed
    Then "silk" must run alone on instance 2
    When "silk" runs alone on instance 1 and completes
    Then "silk" may share an upstream on instance 2

  # Guards against two instances that each run the same suspect.
  Scenario: One instance at a time runs a suspect
    Given 2 instances with crash attribution
    When "silk" of instance 1 was in progress on an upstream that crashed
    Then only instance 1 gets "silk" when both claim its trial at once

  # Guards against suspecting a request whose upstream had already ended.
  Scenario: A request whose connection was refused is not suspected
    Given 2 instances with crash attribution
    When "silk" of instance 1 was refused a connection by its upstream
    Then "silk" may share an upstream on instance 1

  Scenario: Suspicion and conviction expire
    Given 2 instances with crash attribution
    When "silk" of instance 1 was in progress on an upstream that crashed
    And the clock advances by 61 s
    Then "silk" may share an upstream on instance 1
    When "silk" of instance 1 crashed an upstream while running alone
    Then "silk" is refused as "request-convicted" on instance 2
    When the clock advances by 3601 s
    Then "silk" may share an upstream on instance 2

  # Guards against an instance that started after the conviction was published.
  Scenario: A new instance learns of a conviction from the first crash
    Given 2 instances with crash attribution
    When "silk" of instance 1 crashed an upstream while running alone
    And instance 2 starts again
    And "silk" of instance 2 was in progress on an upstream that crashed
    Then "silk" is refused as "request-convicted" on instance 2

  Scenario: Memory is bounded
    Given 2 instances with crash attribution
    When 5000 contents of instance 1 crashed an upstream while running alone
    Then instance 2 knows 4096 of the convictions

  Scenario: A poison request crashes two processes
    Given a fleet of 2 daemons with encoder 1, retriever 1, reranker 1, advice 4
    When the advice processes crash on "poison" and the daemons have discovered each other
    And team "seamstresses" posts "poison" 6 times to the daemons in turn
    Then 2 of the advice processes ended
    And the problem is "request-convicted" with outcome "not-run"
    When team "seamstresses" posts "which kaftan fits" to "advice" as "fitting" through daemon 2
    Then the answer has 8 tokens in order
