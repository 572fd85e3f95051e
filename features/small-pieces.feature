Feature: Bytes that arrive in small pieces
  The memory and processor time that bodies and responses take depend on their bytes, not on how
  these are cut.

  # Guards against a heap that is exhausted by the entries of a stream that is held.
  Scenario: A stream that is held takes little more memory than its bytes
    When 300000 events of 12 bytes are held until their stream may pass
    Then the memory in use has grown by at most 16 MiB

  # Guards against a heap that is exhausted by the pieces of the response of a stage call.
  Scenario: A response in small pieces takes little more memory than its bytes
    When 1000000 pieces of 1 byte of a response are read
    Then the memory in use has grown by at most 16 MiB

  # Guards against copying and searching the incomplete event again for each chunk.
  Scenario Outline: An incomplete event takes the same time however it is cut
    When 1 MiB of an incomplete event arrives in pieces of <bytes> bytes
    Then it takes at most 500 ms of processor time
    And one more byte is too large

    Examples:
      | bytes |
      | 4     |
      | 65536 |

  # Guards against streams without events that keep an attempt alive.
  Scenario Outline: Lines that are no event do not count as one
    Then "<text>" holds <count> events, passes on <bytes> bytes and ends <where> an event

    Examples:
      | text                          | count | bytes | where   |
      | \n\n\n\n                      | 0     | 0     | outside |
      | : note\n\n: note\n\n          | 0     | 0     | outside |
      | data: x\n\n\n                 | 1     | 9     | outside |
      | \n: note\n\ndata: x\r\n\r\n   | 1     | 20    | outside |
      | data: x\n\ndata: y\n          | 1     | 9     | inside  |
      | id: 1\n\ndat                  | 1     | 7     | inside  |

  # Guards against daemons that an endless response stalls or ends.
  Scenario Outline: An upstream that sends <mode> without end does not keep others from being served
    Given a platform with the upstreams "u1" and "u2" and a daemon
    And one upstream is "<mode>"
    When 6 callers ask for "<path>" in turn
    Then all of them got status 200

    Examples:
      | mode        | path                |
      | empty-lines | /stream/resumable/1 |
      | tiny-chunks | /stream/resumable/1 |
      | tiny-chunks | /plain/1            |
      | interim-heads | /plain/1            |
      | interim-heads | /stream/resumable/1 |

  Scenario: Buffers keep their bytes however they are cut, and give back their memory
    Then a buffer that is filled in any pieces holds the same bytes and returns what it reserved
