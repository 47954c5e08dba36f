"""Records samples during an experiment and summarizes them as results."""

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
    """Outcome and measurements of one request.

    :param customer: customer that sent the request.
    :param arrived_s: arrival time in seconds from the start.
    :param first_s: time to the first token in seconds; None if there is none.
    :param total_s: time to the end in seconds.
    :param verdict: verdict of the outcome.
    :param reason: reason of the outcome.
    :param tokens: number of tokens in the answer.
    :param blocks: number of cache blocks in the prompt.
    :param cached_blocks: blocks of the prompt found in the engine's cache.
    :param replica: replica that served the request; empty if none.
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
        """Whether the complete answer was delivered."""
        return self.verdict == model.Verdict.COMPLETED.value


@dataclasses.dataclass(frozen=True)
class Latency:
    """Distribution of latencies, in seconds.

    :param count: number of latencies.
    :param p50_s: median.
    :param p95_s: 95th percentile.
    :param p99_s: 99th percentile.
    :param histogram: all latencies, as an encoded HdrHistogram.
    """

    count: int
    p50_s: float
    p95_s: float
    p99_s: float
    histogram: str


@dataclasses.dataclass(frozen=True)
class CustomerResults:
    """Results of one customer's requests.

    :param requests: number of counted requests.
    :param completed: requests that completed before their deadline.
    :param outcomes: number of requests by reason of the outcome.
    :param first_token: time to the first token.
    :param total: time to the complete answer.
    :param refusal: time until requests that did not complete ended.
    """

    requests: int
    completed: int
    outcomes: dict[str, int]
    first_token: Latency
    total: Latency
    refusal: Latency


@dataclasses.dataclass(frozen=True)
class SystemSample:
    """State of the system at a point in time.

    :param at_s: time in seconds from the start.
    :param down: number of desired replicas that can't serve.
    :param stranded: number of accelerators outside serving replicas.
    """

    at_s: float
    down: int
    stranded: int


@dataclasses.dataclass(frozen=True)
class Results:
    """Results of an experiment.

    :param name: name of the experiment.
    :param seed: seed of the experiment.
    :param policies: names of the policies.
    :param counted_s: time whose requests were counted, in seconds.
    :param overall: results of all customers together.
    :param customers: results by customer.
    :param goodput_tokens_per_s: rate of tokens in answers that met their
        deadline.
    :param cache_hit_share: share of prompt blocks that were cached.
    :param imbalance: coefficient of variation of the tokens per replica.
    :param group_downtime_s: downtime of replicas in replica-seconds.
    :param stranded_accelerator_s: time of accelerators outside serving
        replicas, in accelerator-seconds.
    :param timeline: state of the system over time.
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
    """Return a histogram of latencies.

    :param values_s: latencies in seconds.
    """
    histogram = hdrh.histogram.HdrHistogram(
        1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for value in values_s:
        histogram.record_value(max(1, round(value * US_PER_S)))
    return histogram


def decode_histogram(text: str) -> hdrh.histogram.HdrHistogram:
    """Decode a histogram.

    :param text: encoded HdrHistogram.
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
    """Records samples of a run and computes its results.

    :param warmup_s: requests that arrive earlier are not counted.
    """

    def __init__(self, warmup_s: float) -> None:
        self._warmup_s = warmup_s
        self._samples: list[RequestSample] = []
        self._system_samples: list[SystemSample] = []

    def add_request_sample(self, sample: RequestSample) -> None:
        """Record a request that ended."""
        if sample.arrived_s >= self._warmup_s:
            self._samples.append(sample)

    def add_system_sample(self, sample: SystemSample) -> None:
        """Record the state of the system."""
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
        :param seed: seed of the experiment.
        :param policies: names of the policies.
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
    """Read and validate results.

    :param path: JSON file.
    :raises OSError: if the file can't be read.
    :raises wasabilanding.model.InvalidDocument: if the document is invalid.
    """
    return model.decode(Results, path.read_bytes())
