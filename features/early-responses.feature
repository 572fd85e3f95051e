Feature: Responses that come before the request is read, and statuses that are none
  A part of a response never reaches a caller as a whole one, nor does a status that HTTP does not have.

  # Guards against the beginning of a response that is passed on as a whole one (MIXED).
  Scenario Outline: A <kind> with <framing> as framing that ends by <how> <place> during the upload is <outcome>
    Then a "<kind>" with framing "<framing>" that ends by "<how>" "<place>" during the upload is <outcome>

    Examples:
      | kind   | framing | how            | place          | outcome |
      | result | none    | a close        | after the head | broken  |
      | result | none    | a close        | in the body    | broken  |
      | result | none    | a close        | at the end     | broken  |
      | result | none    | an abandonment | after the head | broken  |
      | result | none    | an abandonment | in the body    | broken  |
      | result | none    | a reset        | after the head | broken  |
      | result | none    | a reset        | in the body    | broken  |
      | result | length  | a close        | in the body    | broken  |
      | result | length  | a close        | at the end     | whole   |
      | result | length  | a reset        | at the end     | whole   |
      | result | chunks  | an abandonment | in the body    | broken  |
      | result | chunks  | a close        | at the end     | whole   |
      | stream | none    | a close        | after the head | broken  |
      | stream | none    | a close        | after an event | broken  |
      | stream | none    | a close        | at the end     | broken  |
      | stream | none    | an abandonment | after an event | broken  |
      | stream | none    | a reset        | after an event | broken  |
      | stream | length  | a reset        | after an event | broken  |
      | stream | chunks  | a close        | at the end     | whole   |

  # Guards against sound responses to requests of which the upstream needs no more.
  Scenario Outline: A response with status <status> that ends with its head during the upload is whole
    Then a response with status <status> and no body that ends by "a close" during the upload is whole

    Examples:
      | status |
      | 204    |
      | 304    |

  # Guards against responses that are neither counted nor chunked, whatever their coding (MIXED).
  Scenario Outline: A <kind> with the transfer coding "<coding>" that is reset is broken
    Then a "<kind>" with the transfer coding "<coding>" that is reset in its body is broken

    Examples:
      | kind   | coding        |
      | result | identity      |
      | result | gzip          |
      | result | gzip, chunked |
      | stream | identity      |

  # Guards against streams that are held back until their end.
  Scenario: A stream with status 202 is passed on as it comes
    Then a stream with status 202 that falls silent after an event has passed that event on

  # Guards against failures of upstreams that reach callers as answers (MIXED).
  Scenario Outline: A <kind> with the status "<status>" does not reach the caller
    Then a "<kind>" with the status line "<status>" is broken, and the caller gets no part of it

    Examples:
      | kind   | status   |
      | result | 000      |
      | result | 099      |
      | result | 100      |
      | result | 101      |
      | result | 199      |
      | result | 600      |
      | result | 999      |
      | result | 2000     |
      | result | 20       |
      | result | OK       |
      | stream | 000      |
      | stream | 099      |
      | stream | 101      |
      | stream | 600      |
      | stream | 999      |
      | result | 204      |
      | result | 304      |
      | stream | 204      |
      | stream | 304      |

  # Guards against a body that is cut at the wrong length.
  Scenario: A response with two lengths that differ does not reach the caller
    Then a response with two lengths that differ is broken, and the caller gets no part of it
