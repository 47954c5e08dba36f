"""Comparison of the results of two experiments."""

import collections.abc
import dataclasses

from wasabilanding.experiments.study import results


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Value of one metric in two results.

    :param metric: name of the metric with its unit.
    :param one: value in the first results.
    :param other: value in the second results.
    """

    metric: str
    one: float
    other: float

    @property
    def ratio(self) -> float | None:
        """Second value divided by the first; None if the first is 0."""
        return self.other / self.one if self.one else None


def _customer_metrics(
    prefix: str, customer_results: results.CustomerResults
) -> dict[str, float]:
    return {
        f"{prefix}requests": customer_results.requests,
        f"{prefix}completed": customer_results.completed,
        f"{prefix}first token p50 (s)": customer_results.first_token.p50_s,
        f"{prefix}first token p95 (s)": customer_results.first_token.p95_s,
        f"{prefix}first token p99 (s)": customer_results.first_token.p99_s,
        f"{prefix}whole answer p50 (s)": customer_results.total.p50_s,
        f"{prefix}whole answer p99 (s)": customer_results.total.p99_s,
    }


def metrics(experiment_results: results.Results) -> dict[str, float]:
    """Return the metrics of results by name.

    :param experiment_results: results of an experiment.
    """
    rows = _customer_metrics("", experiment_results.overall)
    rows["refusal p50 (s)"] = experiment_results.overall.refusal.p50_s
    rows["refusal p99 (s)"] = experiment_results.overall.refusal.p99_s
    rows["goodput (tokens/s)"] = experiment_results.goodput_tokens_per_s
    rows["cache hit share"] = experiment_results.cache_hit_share
    rows["imbalance"] = experiment_results.imbalance
    rows["group downtime (replica-s)"] = experiment_results.group_downtime_s
    rows["stranded (accelerator-s)"] = (
        experiment_results.stranded_accelerator_s
    )
    for name, customer in experiment_results.customers.items():
        rows.update(_customer_metrics(f"{name}: ", customer))
    return rows


def compare(
    one: results.Results, other: results.Results
) -> collections.abc.Sequence[Comparison]:
    """Compare the metrics of two results.

    :param one: first results.
    :param other: second results.
    :returns: metrics that both results have, in order.
    """
    first, second = metrics(one), metrics(other)
    return tuple(
        Comparison(name, first[name], second[name])
        for name in first
        if name in second
    )
