"""Shortages of replicas, found in the planners' log lines.

Explanation
===========

The node that plans a failure domain logs a line on the capacity of each model
when it changes and at least each 10 s. A line's state lasts until the next
line on its failure domain. Longer silence means that no node planned it, or
that its log is missing: the state is unknown then. Lines are ordered by the
nodes' own clocks.
"""

import collections
import collections.abc
import dataclasses
import itertools
import operator
import typing

from wasabilanding.command import explain

# Planners repeat their line each 10 s; the rest is for slow nodes.
MAX_SILENCE_S = 15.0


@dataclasses.dataclass(frozen=True)
class ModelState:
    """Replicas of a model as one line states them.

    :param open_replicas: replicas that accept requests.
    :param wanted_replicas: replicas by the model's share.
    :param cause: why replicas are lacking; empty if none are.
    """

    open_replicas: int
    wanted_replicas: int
    cause: str


@dataclasses.dataclass(frozen=True)
class Observation:
    """One line on the capacity of a failure domain.

    :param created: Unix time in seconds at which it was written.
    :param domain: the failure domain.
    :param models: state of each model.
    """

    created: float
    domain: str
    models: dict[str, ModelState]


@dataclasses.dataclass(frozen=True)
class Shortage:
    """Time in which a model lacked replicas in a failure domain.

    :param domain: the failure domain.
    :param model: the model.
    :param began_at: Unix time in seconds at which it began.
    :param lasted_s: its length in seconds.
    :param fewest: smallest number of open replicas.
    :param wanted: largest number of wanted replicas.
    :param missing_s: lacking replicas times seconds.
    :param cause_s: seconds by cause.
    """

    domain: str
    model: str
    began_at: float
    lasted_s: float
    fewest: int
    wanted: int
    missing_s: float
    cause_s: dict[str, float]

    def __str__(self) -> str:
        causes = sorted(self.cause_s.items(), key=lambda pair: -pair[1])
        text = ", ".join(f"{name} {seconds:.1f} s" for name, seconds in causes)
        return (
            f"{self.began_at:.3f} {self.domain} {self.model}: "
            f"{self.fewest} of {self.wanted} replicas at the least "
            f"for {self.lasted_s:.1f} s: {text}"
        )


@dataclasses.dataclass(frozen=True)
class Silence:
    """Time without a line on a failure domain.

    :param domain: the failure domain.
    :param began_at: Unix time in seconds at which its state became unknown.
    :param lasted_s: its length in seconds.
    """

    domain: str
    began_at: float
    lasted_s: float

    def __str__(self) -> str:
        return (
            f"{self.began_at:.3f} {self.domain}: "
            f"no planner's line for {self.lasted_s:.1f} s"
        )


@dataclasses.dataclass(frozen=True)
class Report:
    """What the logs say about the capacity of models.

    :param observations: number of lines on capacity.
    :param shortages: shortages by the time at which they began.
    :param silences: times without a line, likewise.
    """

    observations: int
    shortages: tuple[Shortage, ...]
    silences: tuple[Silence, ...]

    @property
    def summary(self) -> list[str]:
        """One line for each failure domain and model, the worst first."""
        lasted_s: collections.Counter[tuple[str, str]] = collections.Counter()
        missing_s: collections.Counter[tuple[str, str]] = collections.Counter()
        for shortage in self.shortages:
            place = (shortage.domain, shortage.model)
            lasted_s[place] += shortage.lasted_s
            missing_s[place] += shortage.missing_s
        return [
            f"{domain} {model}: lacked replicas for "
            f"{lasted_s[domain, model]:.1f} s, {missing:.1f} replica-seconds"
            for (domain, model), missing in missing_s.most_common()
        ]


@dataclasses.dataclass(frozen=True)
class _Span:
    """A model's state from one line to the end of its validity."""

    began_at: float
    ended_at: float
    state: ModelState

    @property
    def length_s(self) -> float:
        return self.ended_at - self.began_at

    @property
    def lacking(self) -> int:
        return max(0, self.state.wanted_replicas - self.state.open_replicas)


def _observation(fields: dict[str, typing.Any]) -> Observation | None:
    """Return the observation in a line, or None if it is another line."""
    try:
        return Observation(
            float(fields["created"]),
            str(fields["domain"]),
            {
                str(entry["model"]): ModelState(
                    int(entry["open_replicas"]),
                    int(entry["wanted_replicas"]),
                    str(entry["cause"]),
                )
                for entry in fields["models"]
            },
        )
    except (KeyError, TypeError, ValueError):
        return None


def _spans(
    observations: list[Observation], ends_at: float
) -> collections.abc.Iterator[tuple[Observation, float, float]]:
    """Yield each observation, the end of its validity and the next one."""
    following = [found.created for found in observations[1:]]
    for found, next_at in zip(observations, (*following, ends_at)):
        next_at = max(next_at, found.created)
        yield found, min(next_at, found.created + MAX_SILENCE_S), next_at


def _shortage(domain: str, model: str, spans: list[_Span]) -> Shortage:
    cause_s: collections.Counter[str] = collections.Counter()
    for span in spans:
        cause_s[span.state.cause] += span.length_s
    return Shortage(
        domain=domain,
        model=model,
        began_at=spans[0].began_at,
        lasted_s=spans[-1].ended_at - spans[0].began_at,
        fewest=min(span.state.open_replicas for span in spans),
        wanted=max(span.state.wanted_replicas for span in spans),
        missing_s=sum(span.lacking * span.length_s for span in spans),
        cause_s=dict(cause_s),
    )


def _shortages(
    domain: str, model: str, spans: list[_Span]
) -> collections.abc.Iterator[Shortage]:
    """Yield a shortage for each run of adjoining spans that lack replicas."""
    run: list[_Span] = []
    for span in spans:
        if run and (not span.lacking or span.began_at > run[-1].ended_at):
            yield _shortage(domain, model, run)
            run = []
        if span.lacking:
            run.append(span)
    if run:
        yield _shortage(domain, model, run)


def find_shortages(texts: collections.abc.Iterable[str]) -> Report:
    """Return where and when models lacked replicas, and why.

    :param texts: lines of the logs of any nodes, in any order.

    Examples
    ========

    >>> from wasabilanding.command import shortages
    >>> shortages.find_shortages(["started"]).observations
    0
    """
    lines = [fields for text in texts if (fields := explain.parse_line(text))]
    found = [each for line in lines if (each := _observation(line))]
    found.sort(
        key=lambda observation: (observation.domain, observation.created)
    )
    ends_at = max((_created(line) for line in lines), default=0.0)
    shortages: list[Shortage] = []
    silences: list[Silence] = []
    for domain, group in itertools.groupby(
        found, operator.attrgetter("domain")
    ):
        spans = collections.defaultdict(list)
        for observation, valid_until, next_at in _spans(list(group), ends_at):
            for model, state in observation.models.items():
                spans[model].append(
                    _Span(observation.created, valid_until, state)
                )
            if next_at > valid_until:
                silences.append(
                    Silence(domain, valid_until, next_at - valid_until)
                )
        for model, model_spans in spans.items():
            shortages += _shortages(domain, model, model_spans)
    began_at = operator.attrgetter("began_at")
    return Report(
        len(found),
        tuple(sorted(shortages, key=began_at)),
        tuple(sorted(silences, key=began_at)),
    )


def _created(fields: dict[str, typing.Any]) -> float:
    created = fields.get("created")
    return float(created) if isinstance(created, int | float) else 0.0
