Feature: Responses that end early
  A response has a length, is sent in chunks, or ends with its connection.

  # Guards against responses that end early and are passed on as whole, and whole ones that are not.
  # A result without framing that is cut by a close cannot be told from a whole one.
  Scenario Outline: A <kind> with <framing> as framing that ends by <how> <place> is <outcome>
    Then a "<kind>" with framing "<framing>" that ends by "<how>" "<place>" is <outcome>, with and without notice of the close

    Examples:
      | kind   | framing | how          | place           | outcome |
      | result | length  | a close      | before the head | broken  |
      | result | length  | a close      | in the head     | broken  |
      | result | length  | a close      | after the head  | broken  |
      | result | length  | a close      | in the body     | broken  |
      | result | length  | a close      | at the end      | whole   |
      | result | length  | a reset      | before the head | broken  |
      | result | length  | a reset      | in the head     | broken  |
      | result | length  | a reset      | after the head  | broken  |
      | result | length  | a reset      | in the body     | broken  |
      | result | length  | a reset      | at the end      | whole   |
      | result | length  | silence      | before the head | broken  |
      | result | length  | silence      | in the head     | broken  |
      | result | length  | silence      | after the head  | broken  |
      | result | length  | silence      | in the body     | broken  |
      | result | length  | silence      | at the end      | whole   |
      | result | length  | excess bytes | at the end      | whole   |
      | result | chunks  | a close      | before the head | broken  |
      | result | chunks  | a close      | in the head     | broken  |
      | result | chunks  | a close      | after the head  | broken  |
      | result | chunks  | a close      | in the body     | broken  |
      | result | chunks  | a close      | at the end      | whole   |
      | result | chunks  | a reset      | before the head | broken  |
      | result | chunks  | a reset      | in the head     | broken  |
      | result | chunks  | a reset      | after the head  | broken  |
      | result | chunks  | a reset      | in the body     | broken  |
      | result | chunks  | a reset      | at the end      | whole   |
      | result | chunks  | silence      | before the head | broken  |
      | result | chunks  | silence      | in the head     | broken  |
      | result | chunks  | silence      | after the head  | broken  |
      | result | chunks  | silence      | in the body     | broken  |
      | result | chunks  | silence      | at the end      | whole   |
      | result | chunks  | excess bytes | at the end      | whole   |
      | result | none    | a close      | before the head | broken  |
      | result | none    | a close      | in the head     | broken  |
      | result | none    | a close      | after the head  | broken  |
      | result | none    | a close      | in the body     | whole   |
      | result | none    | a close      | at the end      | whole   |
      | result | none    | a reset      | before the head | broken  |
      | result | none    | a reset      | in the head     | broken  |
      | result | none    | a reset      | after the head  | broken  |
      | result | none    | a reset      | in the body     | broken  |
      | result | none    | a reset      | at the end      | broken  |
      | result | none    | silence      | before the head | broken  |
      | result | none    | silence      | in the head     | broken  |
      | result | none    | silence      | after the head  | broken  |
      | result | none    | silence      | in the body     | broken  |
      | result | none    | silence      | at the end      | broken  |
      | stream | length  | a close      | before the head | broken  |
      | stream | length  | a close      | in the head     | broken  |
      | stream | length  | a close      | after the head  | broken  |
      | stream | length  | a close      | in the body     | broken  |
      | stream | length  | a close      | after an event  | broken  |
      | stream | length  | a close      | at the end      | whole   |
      | stream | length  | a reset      | before the head | broken  |
      | stream | length  | a reset      | in the head     | broken  |
      | stream | length  | a reset      | after the head  | broken  |
      | stream | length  | a reset      | in the body     | broken  |
      | stream | length  | a reset      | after an event  | broken  |
      | stream | length  | a reset      | at the end      | whole   |
      | stream | length  | silence      | before the head | broken  |
      | stream | length  | silence      | in the head     | broken  |
      | stream | length  | silence      | after the head  | broken  |
      | stream | length  | silence      | in the body     | broken  |
      | stream | length  | silence      | after an event  | broken  |
      | stream | length  | silence      | at the end      | whole   |
      | stream | length  | excess bytes | at the end      | whole   |
      | stream | chunks  | a close      | before the head | broken  |
      | stream | chunks  | a close      | in the head     | broken  |
      | stream | chunks  | a close      | after the head  | broken  |
      | stream | chunks  | a close      | in the body     | broken  |
      | stream | chunks  | a close      | after an event  | broken  |
      | stream | chunks  | a close      | at the end      | whole   |
      | stream | chunks  | a reset      | before the head | broken  |
      | stream | chunks  | a reset      | in the head     | broken  |
      | stream | chunks  | a reset      | after the head  | broken  |
      | stream | chunks  | a reset      | in the body     | broken  |
      | stream | chunks  | a reset      | after an event  | broken  |
      | stream | chunks  | a reset      | at the end      | whole   |
      | stream | chunks  | silence      | before the head | broken  |
      | stream | chunks  | silence      | in the head     | broken  |
      | stream | chunks  | silence      | after the head  | broken  |
      | stream | chunks  | silence      | in the body     | broken  |
      | stream | chunks  | silence      | after an event  | broken  |
      | stream | chunks  | silence      | at the end      | whole   |
      | stream | chunks  | excess bytes | at the end      | whole   |
      | stream | none    | a close      | before the head | broken  |
      | stream | none    | a close      | in the head     | broken  |
      | stream | none    | a close      | after the head  | broken  |
      | stream | none    | a close      | in the body     | broken  |
      | stream | none    | a close      | after an event  | whole   |
      | stream | none    | a close      | at the end      | whole   |
      | stream | none    | a reset      | before the head | broken  |
      | stream | none    | a reset      | in the head     | broken  |
      | stream | none    | a reset      | after the head  | broken  |
      | stream | none    | a reset      | in the body     | broken  |
      | stream | none    | a reset      | after an event  | broken  |
      | stream | none    | a reset      | at the end      | broken  |
      | stream | none    | silence      | before the head | broken  |
      | stream | none    | silence      | in the head     | broken  |
      | stream | none    | silence      | after the head  | broken  |
      | stream | none    | silence      | in the body     | broken  |
      | stream | none    | silence      | after an event  | broken  |
      | stream | none    | silence      | at the end      | broken  |

  # Guards against texts of errors inside of streams.
  Scenario Outline: A stream that began is not continued by a response with status <status>
    When a stream that began is continued by a response with status <status>
    Then nothing of that response is passed on, and it does not end the stream

    Examples:
      | status |
      | 204    |
      | 302    |
      | 404    |
      | 500    |
      | 503    |

  # Guards against responses that are put together from several ones.
  Scenario: What is passed on as whole is byte for byte one response that was whole
    Then of 60 responses with random framing, cuts and ends, those passed on as whole were whole

  # Guards against an earlier refusal that is taken for the response to the next call.
  Scenario: A connection that carried a refusal of a stage call carries no further call
    When two stage calls are sent to an upstream that repeats its refusal on the same connection
    Then the first one is "refused" and the second one is "results"

  # Guards against callers who lose events that were written just before their stream broke off.
  Scenario: What is written before a response is broken off reaches the caller
    When an event is written to a caller and the response is broken off at once
    Then the caller got the event and an incomplete response

  # Guards against truncated responses that are taken as whole when an instance is busy.
  Scenario: A reset that arrives together with the last bytes is noticed
    When 50 responses without a length are reset in the turn of their last bytes
    Then each of them is known to have been reset
