Feature: Parts of prompts that crash engines
  An engine that begins to respond to a prompt with such a part ends, whatever else the request holds.

  # Guards against crashes that are attributed to identical requests only.
  Scenario Outline: A prompt part that crashes engines stops, and requests without it are served
    Given <daemons> daemons before 8 engines that crash when they begin to respond to a part
    When callers send requests for <seconds> s, of which <deadly> per second have that part <position>
    Then at most 3 requests with it reach engines later than 3 s after the fifth crash
    And sound requests with the same key or first part begin at least half as often as before

    Examples:
      | daemons | seconds | deadly | position                |
      | 3       | 10      | 4      | in the middle           |
      | 8       | 10      | 8      | before the last part    |
      | 3       | 14      | 1      | in the middle           |
      | 3       | 10      | 4      | first                   |
