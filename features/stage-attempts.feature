Feature: Attempts of stages
  Further attempts are bounded and never double, lose or cross results.

  # Guards against a retry storm that makes an outage worse.
  Scenario: Extra attempts in a full outage stay under a tenth
    When 2000 requests run over 10 s while every upstream fails
    Then fewer than 0.1 of the first attempts were repeated

  # Guards against doubled or missing tokens where a stream is resumed.
  Scenario: Broken streams resume without doubled or missing tokens
    Then every stream that breaks at random places is answered whole or fails

  # Guards against a dispatch to an upstream that is marked as leaving after it was chosen.
  Scenario: An upstream that left after its choice gets no work
    When a request runs on a pool that still offers a leaving upstream
    Then the leaving upstream got no work

  # Guards against a dispatch to an upstream that left while the claim of a trial was broadcast.
  Scenario: An upstream that leaves during the claim of a trial gets no work
    When "advice-1" crashes and "advice-2" leaves before the suspect runs there
    Then the attempts were on "advice-1" and "advice-3"

  # Guards against "internal" in place of "deadline-exceeded" for a wait that the deadline ends.
  Scenario: A cancelled wait on the system's timers ends with the reason of the cancel
    Then a sleep that is cancelled with "deadline-exceeded" ends with it

  # Guards against a non-idempotent call, such as a deposit, that runs twice.
  Scenario: A call that must not be sent twice is repeated only if nothing was dispatched
    Then calls that must not be sent twice are repeated only when undispatched
