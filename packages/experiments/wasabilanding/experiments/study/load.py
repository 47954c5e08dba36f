"""Open arrivals: requests arrive whether or not earlier ones have ended."""

import collections.abc
import dataclasses
import heapq
import itertools
import random

from wasabilanding.experiments.study import specification
from wasabilanding.routing import prefix

BITS_PER_HEX_DIGIT = 4


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request.

    :param at_s: arrival time in seconds from the start.
    :param request_id: unique id.
    :param customer: customer that sends the request.
    :param prompt: text of the prompt.
    :param answer_tokens: number of tokens in the answer.
    :param priority: from 0 (shed first) to 9.
    :param deadline_s: deadline in seconds after the arrival.
    :param idempotent: whether the request may run more than once.
    """

    at_s: float
    request_id: str
    customer: str
    prompt: str
    answer_tokens: int
    priority: int
    deadline_s: float
    idempotent: bool


def _text(rng: random.Random, tokens: int) -> str:
    digits = tokens * prefix.CHARACTERS_PER_TOKEN
    return f"{rng.getrandbits(BITS_PER_HEX_DIGIT * digits):0{digits}x}"


def _shared_prefixes(experiment: specification.Experiment) -> list[str]:
    load = experiment.load
    rng = random.Random(f"{experiment.seed}/prefixes")
    return [_text(rng, load.prefix_tokens) for _ in range(load.prefix_groups)]


def _draw_length(rng: random.Random, mean: int, maximum: int) -> int:
    return max(1, min(maximum, round(rng.expovariate(1 / mean))))


class _CustomerArrivals:
    """Generates the requests of one customer.

    Each customer has its own source of randomness, so adding or removing a
    customer does not change the requests of the others.
    """

    def __init__(
        self,
        experiment: specification.Experiment,
        customer: specification.CustomerLoad,
        shared_prefixes: list[str],
    ) -> None:
        self._load = experiment.load
        self._customer = customer
        self._shared_prefixes = shared_prefixes
        self._rng = random.Random(f"{experiment.seed}/{customer.name}")
        self._until = min(
            experiment.duration_s,
            customer.until_s or experiment.duration_s,
        )
        self._weights = list(
            itertools.accumulate(
                (index + 1) ** -experiment.load.prefix_skew
                for index in range(len(shared_prefixes))
            )
        )

    def arrivals(self) -> collections.abc.Iterator[Arrival]:
        """Yield the requests in order of arrival."""
        rate = self._customer.rate_per_s
        at_s = self._customer.from_s
        for number in itertools.count():
            if not rate:
                return
            at_s += self._rng.expovariate(rate)
            if at_s >= self._until:
                return
            yield self._arrival(at_s, number)

    def _arrival(self, at_s: float, number: int) -> Arrival:
        rng = self._rng
        load = self._load
        shared_prefix = ""
        if self._shared_prefixes:
            drawn_prefixes = rng.choices(
                self._shared_prefixes, cum_weights=self._weights
            )
            shared_prefix = drawn_prefixes[0]
        suffix_tokens = _draw_length(
            rng, load.prompt_tokens, 8 * load.prompt_tokens
        )
        return Arrival(
            at_s=at_s,
            request_id=f"{self._customer.name}-{number}",
            customer=self._customer.name,
            prompt=shared_prefix + _text(rng, suffix_tokens),
            answer_tokens=_draw_length(
                rng, load.answer_tokens, load.max_answer_tokens
            ),
            priority=rng.choice(load.priorities),
            deadline_s=load.deadline_s,
            idempotent=rng.random() >= load.non_idempotent,
        )


def arrivals(
    experiment: specification.Experiment,
) -> collections.abc.Iterator[Arrival]:
    """Yield all requests of an experiment in order of arrival.

    :param experiment: experiment to generate requests for.
    """
    shared_prefixes = _shared_prefixes(experiment)
    sources = [
        _CustomerArrivals(experiment, customer, shared_prefixes).arrivals()
        for customer in experiment.load.customers
    ]
    return heapq.merge(*sources, key=lambda arrival: arrival.at_s)
