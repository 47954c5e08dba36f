Feature: Nothing is done for callers that have left

  # A process that lags read requests together with the closes of their
  # connections, and sent them to endpoints before it had seen the closes.
  Scenario Outline: Requests are not sent once their callers have closed
    Given 40 callers of <kind> whose connections lead to <way>
    When half of them close while <halted> stands still
    Then no request of a caller that has left reaches an endpoint
    And each caller that stays gets its answer

    Examples:
      | kind   | way                  | halted          |
      | pages  | both gateways        | each gateway    |
      | sheets | both gateways        | each gateway    |
      | drafts | both gateways        | each gateway    |
      | pages  | a gateway that is cut off | the other one |

  # The server stops reading once more has arrived than one request, and did
  # not see the close behind it.
  Scenario Outline: Endpoints stop work for callers that have closed
    Given 40 callers of <kind> whose connections lead to both gateways
    When <bytes> arrives behind each request and half of the callers <leave> later
    Then 0.5 s after that endpoints work on at most 0.25 of their requests
    And no request behind theirs reaches an endpoint
    And each caller that stays gets its answer

    Examples:
      | kind   | bytes         | leave |
      | pages  | nothing       | close |
      | pages  | an empty line | close |
      | drafts | an empty line | close |
      | pages  | half a head   | close |
      | pages  | a request     | close |
      | drafts | a request     | close |
      | sheets | a request     | close |
      | pages  | a request     | reset |
