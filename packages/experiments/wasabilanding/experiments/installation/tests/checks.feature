Feature: Checks of the soak test report violated guarantees

  Scenario Outline: One deviation from correct behaviour
    Given correct answers to two streams, a page and a sheet
    When <wrong>
    Then <count> violation is reported that contains "<text>"

    Examples:
      | wrong                                   | count | text                  |
      | nothing is wrong                        | 0     |                       |
      | a stream misses a piece                 | 1     | a stream is wrong     |
      | a stream has a piece twice              | 1     | a stream is wrong     |
      | a page's answer belongs to another      | 1     | answer to another     |
      | a sheet runs twice                      | 1     | ran 2 times           |
      | a page runs twice                       | 0     |                       |
      | a sheet that ran is answered 503        | 1     | was answered 503      |
      | a sheet that did not run is answered 503 | 0    |                       |
      | a run has no caller                     | 1     | no caller sent it     |
      | a run has another body                  | 1     | path or body changed  |
      | a run has another customer              | 1     | ran for customer      |
      | a run meets a replica that never was whole | 1  | never whole           |
      | a key runs 6 s after it was revoked     | 1     | with a key revoked    |
      | a key runs 4 s after it was revoked     | 0     |                       |
      | a stream is cut by a planned change     | 1     | cut at g1             |
      | a stream is cut beside a fault          | 0     |                       |
      | a request crosses the close of a connection | 0 |                       |
      | an engine joins two replicas            | 1     | joins two             |
