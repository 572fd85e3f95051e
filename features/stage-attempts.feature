Feature: Attempts of stages
  Retries are bounded, and never duplicate results, lose them or mix them up between requests.

  # Guards against a retry storm that makes an outage worse.
  Scenario: Retries in a full outage are under a tenth of first attempts
    When 2000 requests run over 10 s while every upstream fails
    Then retries are fewer than 0.1 of the first attempts

  # Guards against duplicate or missing tokens where a stream is resumed.
  Scenario: Broken streams resume without duplicate or missing tokens
    Then every stream that breaks at random places is answered completely or fails

  # Guards against a dispatch to an upstream that is marked as leaving after it was chosen.
  Scenario: An upstream that left after it was chosen gets no work
    When a request runs on a pool that still offers a leaving upstream
    Then the leaving upstream got no work

  # Guards against a dispatch to an upstream that left while the claim of a trial was broadcast.
  Scenario: An upstream that leaves during the claim of a trial gets no work
    When "advice-1" crashes and "advice-2" leaves before the suspect runs there
    Then the attempts were on "advice-1" and "advice-3"

  # Guards against "internal" instead of "deadline-exceeded" when the deadline ends a wait.
  Scenario: A cancelled sleep of the system timers rejects with the reason of the cancellation
    Then a sleep that is cancelled with "deadline-exceeded" rejects with that error

  # Guards against a non-idempotent call, such as a deposit, that runs twice.
  Scenario: A call that must not be sent twice is retried only if nothing was dispatched
    Then calls that must not be sent twice are retried only if nothing was dispatched
