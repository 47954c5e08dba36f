"""Comparison of the results of two experiments."""

import collections.abc
import dataclasses

from wasabilanding.experiments.study import results


@dataclasses.dataclass(frozen=True)
class Comparison:
    """One figure of two results.

    :param figure: name of the figure with its unit.
    :param one: its value in the first results.
    :param other: its value in the second.
    """

    figure: str
    one: float
    other: float

    @property
    def ratio(self) -> float | None:
        """Second over first, None where the first is 0."""
        return self.other / self.one if self.one else None


def _of_customer(
    prefix: str, found: results.CustomerResults
) -> dict[str, float]:
    return {
        f"{prefix}requests": found.requests,
        f"{prefix}completed": found.completed,
        f"{prefix}first token p50 (s)": found.first_token.p50_s,
        f"{prefix}first token p95 (s)": found.first_token.p95_s,
        f"{prefix}first token p99 (s)": found.first_token.p99_s,
        f"{prefix}whole answer p50 (s)": found.total.p50_s,
        f"{prefix}whole answer p99 (s)": found.total.p99_s,
    }


def figures(found: results.Results) -> dict[str, float]:
    """Return the figures of results by name.

    :param found: the results.
    """
    rows = _of_customer("", found.overall)
    rows["refusal p50 (s)"] = found.overall.refusal.p50_s
    rows["refusal p99 (s)"] = found.overall.refusal.p99_s
    rows["goodput (tokens/s)"] = found.goodput_tokens_per_s
    rows["cache hit share"] = found.cache_hit_share
    rows["imbalance"] = found.imbalance
    rows["group downtime (replica-s)"] = found.group_downtime_s
    rows["stranded (accelerator-s)"] = found.stranded_accelerator_s
    for name, customer in found.customers.items():
        rows.update(_of_customer(f"{name}: ", customer))
    return rows


def compare(
    one: results.Results, other: results.Results
) -> collections.abc.Sequence[Comparison]:
    """Compare two results, figure by figure.

    :param one: the first.
    :param other: the second.
    :returns: the figures that both have, in order.
    """
    first, second = figures(one), figures(other)
    return tuple(
        Comparison(name, first[name], second[name])
        for name in first
        if name in second
    )
