Feature: Interleaved attempts
  For any behaviour and order of events at upstreams, each caller gets its own whole answer or one error.

  # Guards against results that are lost, doubled or crossed between requests or teams by retries,
  # hedges, cancels, late answers and trials of suspects, and against a false "not-run".
  Scenario: Requests of two teams on erratic upstreams
    Then requests of two teams on erratic upstreams each get their own whole answer or one error
