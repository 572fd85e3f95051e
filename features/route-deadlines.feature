Feature: Telling first attempts from repeated ones

  Scenario: First attempts whose deadlines differ by a fifth count as first attempts
    When first attempts come with deadlines of 8000, 6500, 7200 and 7900 ms
    Then none of them counts as repeated

  Scenario: A caller that comes back is served by the target of its first attempt
    When first attempts come with deadlines of 8000, 6500, 7200 and 7900 ms
    Then an attempt with a deadline of 4500 ms counts as begun 1500 ms ago
