"""Admission of requests by customer."""

import collections

from wasabilanding import configuration
from wasabilanding import model

COMEBACK_S = 1.0


class Admission:
    """Requests in flight on this node, by customer."""

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._by_customer: collections.Counter[str] = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._by_customer.total()

    def admit(
        self, name: str, customer: configuration.Customer
    ) -> model.Outcome | None:
        """Admit a request, or say why not.

        :param name: name of the customer.
        :param customer: its share.
        :returns: None when admitted, else a final outcome.
        """
        own = self._by_customer[name]
        if customer.max_in_flight and own >= customer.max_in_flight:
            return model.not_run(
                model.Reason.CUSTOMER_LIMIT,
                f"customer {name} has {own} requests in flight",
                COMEBACK_S,
            )
        if self.in_flight >= self._max_in_flight:
            return model.not_run(
                model.Reason.OVERLOADED,
                f"{self.in_flight} requests are in flight",
                COMEBACK_S,
            )
        self._by_customer[name] += 1
        return None

    def release(self, name: str) -> None:
        """Note the end of an admitted request.

        :param name: name of the customer.
        """
        self._by_customer[name] -= 1
        if not self._by_customer[name]:
            del self._by_customer[name]
