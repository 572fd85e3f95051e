Feature: Answer record
  A reader of an answer gets each event once, from whatever position it resumes.

  Scenario: A resume gives exactly the unseen events before and after the answer is coalesced
    Then for any tokens every position of a running and of a finished answer gives the rest

  Scenario: Length and digest are those of the joined text
    Then for any text cut at any place the end has the length and digest of the text

  Scenario: A stored answer restores the same events
    Then for any tokens and result the stored answer gives the same events

  Scenario: A quiet stream sends comments
    Given a stream of an answer that is quiet for 25000 ms
    Then the stream holds 2 comments and no event
