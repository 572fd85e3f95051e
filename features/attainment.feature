Feature: Attainment
  Status shows the attainment of the last minutes; refused requests must count, or a class that is
  refused altogether would look served.

  Scenario: Refused and late requests count against a class, old ones drop out
    Then 3 attained, 1 late and 4 refused requests give 3 of 8 with a mean of 200 ms
    And after 6 minutes the class is not listed
