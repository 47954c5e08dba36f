"""Results of an experiment: samples while it runs, a document at its end."""

import collections
import collections.abc
import dataclasses
import pathlib
import statistics

import hdrh.histogram

from wasabilanding import model

US_PER_S = 1_000_000
MAX_LATENCY_US = 3_600 * US_PER_S
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


@dataclasses.dataclass(frozen=True)
class RequestSample:
    """How one request ended.

    :param customer: its customer.
    :param arrived_s: when it arrived.
    :param first_s: seconds to its first token, None without one.
    :param total_s: seconds to its end.
    :param verdict: verdict of its outcome.
    :param reason: reason of its outcome.
    :param tokens: length of its answer.
    :param blocks: blocks of its prompt.
    :param cached_blocks: those that the engine had cached.
    :param replica: replica that served it, empty for none.
    """

    customer: str
    arrived_s: float
    first_s: float | None
    total_s: float
    verdict: str
    reason: str
    tokens: int = 0
    blocks: int = 0
    cached_blocks: int = 0
    replica: str = ""

    @property
    def completed(self) -> bool:
        """Whether the whole answer was delivered."""
        return self.verdict == model.Verdict.COMPLETED.value


@dataclasses.dataclass(frozen=True)
class Latency:
    """Distribution of latencies, in seconds.

    :param count: how many.
    :param p50_s: median.
    :param p95_s: 95th percentile.
    :param p99_s: 99th percentile.
    :param histogram: all of them, in the interchange form of hdrhistogram.
    """

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    histogram: str


@dataclasses.dataclass(frozen=True)
class CustomerResults:
    """How the requests of one customer ended.

    :param requests: requests that were counted.
    :param completed: those that completed before their deadline.
    :param outcomes: how many ended for which reason.
    :param first_token: seconds to the first token.
    :param total: seconds to the whole answer.
    :param refusal: seconds to a refusal.
    """

    requests: int
    completed: int
    outcomes: dict[str, int]
    first_token: Latency
    total: Latency
    refusal: Latency


@dataclasses.dataclass(frozen=True)
class SystemSample:
    """State of the system at one time.

    :param at_s: the time in seconds.
    :param down: wanted replicas that can't serve.
    :param stranded: accelerators without a place in a serving replica.
    """

    at_s: float
    down: int
    stranded: int


@dataclasses.dataclass(frozen=True)
class Results:
    """Results of an experiment.

    :param name: name of the experiment.
    :param seed: its seed.
    :param policies: its policies by name.
    :param counted_s: time whose requests were counted, in seconds.
    :param overall: all customers together.
    :param customers: each customer.
    :param goodput_tokens_per_s: tokens of answers that met their deadline.
    :param cache_hit_share: share of prompt blocks that were cached.
    :param imbalance: coefficient of variation of the tokens per replica.
    :param group_downtime_s: replica-seconds.
    :param stranded_accelerator_s: accelerator-seconds.
    :param timeline: state over time.
    """

    name: str
    seed: int
    policies: dict[str, str]
    counted_s: float
    overall: CustomerResults
    customers: dict[str, CustomerResults]
    goodput_tokens_per_s: float
    cache_hit_share: float
    imbalance: float
    group_downtime_s: float
    stranded_accelerator_s: float
    timeline: tuple[SystemSample, ...]


def latency_histogram(
    values_s: collections.abc.Iterable[float],
) -> hdrh.histogram.HdrHistogram:
    """Return a histogram of times.

    :param values_s: the times in seconds.
    """
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for value in values_s:
        histogram.record_value(max(1, round(value * US_PER_S)))
    return histogram


def decode_histogram(text: str) -> hdrh.histogram.HdrHistogram:
    """Return the histogram in an interchange form.

    :param text: the interchange form.
    """
    return hdrh.histogram.HdrHistogram.decode(text)


def _latency(values_s: list[float]) -> Latency:
    histogram = latency_histogram(values_s)
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percentile) / US_PER_S
        for percentile in PERCENTILES
    )
    text = histogram.encode()
    if isinstance(text, bytes):
        text = text.decode()
    return Latency(len(values_s), p50, p95, p99, text)


def _customer(samples: list[RequestSample]) -> CustomerResults:
    completed = [s for s in samples if s.completed]
    refused = [s for s in samples if not s.completed]
    outcomes = collections.Counter(s.reason for s in samples)
    return CustomerResults(
        requests=len(samples),
        completed=len(completed),
        outcomes=dict(sorted(outcomes.items())),
        first_token=_latency(
            [s.first_s for s in completed if s.first_s is not None]
        ),
        total=_latency([s.total_s for s in completed]),
        refusal=_latency([s.total_s for s in refused]),
    )


def _imbalance(samples: list[RequestSample]) -> float:
    tokens: collections.Counter[str] = collections.Counter()
    for sample in samples:
        if sample.replica:
            tokens[sample.replica] += sample.tokens
    if len(tokens) < 2:
        return 0.0
    mean = statistics.fmean(tokens.values())
    return statistics.pstdev(tokens.values()) / mean


class Recorder:
    """Gathers what happens in a run.

    :param warmup_s: requests that arrive before are not counted.
    """

    def __init__(self, warmup_s: float) -> None:
        self._warmup_s = warmup_s
        self._samples: list[RequestSample] = []
        self._system_samples: list[SystemSample] = []

    def add_request_sample(self, sample: RequestSample) -> None:
        """Note the end of a request."""
        if sample.arrived_s >= self._warmup_s:
            self._samples.append(sample)

    def add_system_sample(self, sample: SystemSample) -> None:
        """Note the state of the system."""
        self._system_samples.append(sample)

    def _integral(self, name: str) -> float:
        return sum(
            getattr(current, name) * (following.at_s - current.at_s)
            for current, following in zip(
                self._system_samples, self._system_samples[1:]
            )
        )

    def results(
        self,
        name: str,
        seed: int,
        policies: dict[str, str],
        duration_s: float,
    ) -> Results:
        """Return the results of the run.

        :param name: name of the experiment.
        :param seed: its seed.
        :param policies: its policies by name.
        :param duration_s: time in which requests arrived, in seconds.
        """
        samples = self._samples
        counted_s = duration_s - self._warmup_s
        names = sorted({s.customer for s in samples})
        goodput_tokens = sum(s.tokens for s in samples if s.completed)
        blocks = sum(s.blocks for s in samples if s.replica)
        cached_blocks = sum(s.cached_blocks for s in samples)
        return Results(
            name=name,
            seed=seed,
            policies=policies,
            counted_s=counted_s,
            overall=_customer(samples),
            customers={
                name: _customer([s for s in samples if s.customer == name])
                for name in names
            },
            goodput_tokens_per_s=goodput_tokens / counted_s,
            cache_hit_share=cached_blocks / blocks if blocks else 0.0,
            imbalance=_imbalance(samples),
            group_downtime_s=self._integral("down"),
            stranded_accelerator_s=self._integral("stranded"),
            timeline=tuple(self._system_samples),
        )


def load_results(path: pathlib.Path) -> Results:
    """Read results.

    :param path: the JSON file.
    :raises OSError: when the file can't be read.
    :raises wasabilanding.model.InvalidDocument: when it does not fit.
    """
    return model.decode(Results, path.read_bytes())
