Feature: Interleaved attempts
  For any behaviour and order of events at upstreams, each request gets its own complete answer or
  one error.

  # Guards against results that are lost, duplicated or delivered to another request or team by
  # retries, hedges, cancellations, late answers or trials of suspects, and against a false
  # "not-run".
  Scenario: Requests of two teams on erratic upstreams
    Then requests of two teams on erratic upstreams each get their own complete answer or one error
