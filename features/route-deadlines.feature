Feature: Telling first attempts from retries

  Scenario: First attempts whose deadlines differ by a fifth count as first attempts
    When first attempts arrive with deadlines of 8000, 6500, 7200 and 7900 ms
    Then none of them counts as a retry

  Scenario: The latency target of a retry counts from the first attempt
    When first attempts arrive with deadlines of 8000, 6500, 7200 and 7900 ms
    Then an attempt with a deadline of 4500 ms counts as a retry 1500 ms after the first
