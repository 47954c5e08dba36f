"""Weighted fair queue over customers."""

import bisect
import dataclasses

from wasabilanding.limits import admission_request

MIN_WEIGHT = 0.001


@dataclasses.dataclass(frozen=True, order=True)
class _Entry:
    rank: tuple[int, int]
    request: admission_request.AdmissionRequest = dataclasses.field(
        compare=False
    )


class _Flow:
    """Requests of one customer.

    :param tag: start tag of its next request.
    """

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.weight = 1.0
        self.tokens = 0.0
        self.entries: list[_Entry] = []


class FairQueue:
    """Queue of one service, with start-time fair queueing of customers."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._entries: dict[str, _Entry] = {}
        self._virtual = 0.0
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    @property
    def customers(self) -> tuple[str, ...]:
        """Customers whose state the queue holds."""
        return tuple(self._flows)

    def push(
        self, request: admission_request.AdmissionRequest, weight: float
    ) -> None:
        """Queue a request.

        :param request: the request.
        :param weight: weight of its customer.
        """
        flow = self._flows.setdefault(request.customer, _Flow(self._virtual))
        if not flow.entries:
            flow.tag = max(flow.tag, self._virtual)
        self._arrivals += 1
        entry = _Entry((-request.priority, self._arrivals), request)
        flow.weight = max(weight, MIN_WEIGHT)
        flow.tokens += request.tokens
        bisect.insort(flow.entries, entry)
        self._entries[request.request_id] = entry

    def heads(self) -> list[admission_request.AdmissionRequest]:
        """Return each customer's next request, lowest start tag first."""
        waiting = [f for f in self._flows.values() if f.entries]
        waiting.sort(key=lambda f: (f.tag, f.entries[0].rank[1]))
        return [flow.entries[0].request for flow in waiting]

    def serve(self, request_id: str) -> None:
        """Remove a request to run it, and charge its customer.

        :param request_id: a request that :meth:`heads` returned.
        """
        request = self._entries[request_id].request
        flow = self._flows[request.customer]
        self._virtual = max(self._virtual, flow.tag)
        flow.tag += request.tokens / flow.weight
        self._remove(flow, request_id)

    def remove(
        self, request_id: str
    ) -> admission_request.AdmissionRequest | None:
        """Remove a request without running it.

        :param request_id: identity of the request.
        :returns: the request, or None when it is not queued.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        self._remove(self._flows[entry.request.customer], request_id)
        return entry.request

    def _remove(self, flow: _Flow, request_id: str) -> None:
        entry = self._entries.pop(request_id)
        del flow.entries[bisect.bisect_left(flow.entries, entry)]
        flow.tokens -= entry.request.tokens
        self._forget(entry.request.customer)

    def _forget(self, customer: str) -> None:
        # The next push would set its start tag to the virtual time anyway.
        flow = self._flows[customer]
        if not flow.entries and flow.tag <= self._virtual:
            del self._flows[customer]

    def sweep(self) -> None:
        """Discard customers without requests or outstanding charges."""
        for customer in list(self._flows):
            self._forget(customer)

    def charge(self, customer: str, tokens: float, weight: float) -> None:
        """Correct the charge of a customer.

        :param customer: the customer.
        :param tokens: actual minus estimated work.
        :param weight: weight of the customer.
        """
        flow = self._flows.setdefault(customer, _Flow(self._virtual))
        flow.tag += tokens / max(weight, MIN_WEIGHT)
        flow.tag = max(flow.tag, self._virtual)
        self._forget(customer)

    def last_of(
        self, customer: str
    ) -> admission_request.AdmissionRequest | None:
        """Return the request of a customer that is to be served last.

        :param customer: the customer.
        """
        flow = self._flows.get(customer)
        return flow.entries[-1].request if flow and flow.entries else None

    def work_before(self, request_id: str) -> float:
        """Return the work that is served before a queued request.

        Other customers are served until their tags reach the start tag of
        the request.

        :param request_id: identity of the request.
        :returns: work in tokens.
        """
        entry = self._entries[request_id]
        own = self._flows[entry.request.customer]
        ahead = self._own_work_before(own, entry)
        start = own.tag + ahead / own.weight
        others = sum(
            min(flow.tokens, max(0.0, (start - flow.tag) * flow.weight))
            for flow in self._flows.values()
            if flow is not own
        )
        return ahead + others

    def _own_work_before(self, flow: _Flow, entry: _Entry) -> float:
        position = bisect.bisect_left(flow.entries, entry)
        if position == len(flow.entries) - 1:
            return flow.tokens - entry.request.tokens
        return sum(e.request.tokens for e in flow.entries[:position])
