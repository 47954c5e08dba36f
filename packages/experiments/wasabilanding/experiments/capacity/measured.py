"""Measured slopes."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class Slope:
    """Readings over at least three sizes and the line through them.

    :param name: what was measured.
    :param size_name: what the size counts.
    :param unit: unit of the readings.
    :param command: command that gives them.
    :param points: sizes and readings.
    """

    name: str
    size_name: str
    unit: str
    command: str
    points: tuple[tuple[float, float], ...]

    @property
    def line(self) -> tuple[float, float]:
        """Slope per unit of size, and intercept.

        Examples
        ========

        >>> from wasabilanding.experiments import capacity
        >>> points = ((1, 3.0), (2, 5.0), (3, 7.0))
        >>> capacity.Slope("calls", "nodes", "1/s", "c", points).line
        (2.0, 1.0)
        """
        sizes, values = zip(*self.points)
        found = statistics.linear_regression(sizes, values)
        return found.slope, found.intercept

    def at(self, size: float) -> float:
        """Return the value that the line has at a size.

        :param size: the size.
        """
        slope, intercept = self.line
        return intercept + slope * size

    @property
    def largest(self) -> float:
        """Reading at the largest size."""
        return max(self.points)[1]


@dataclasses.dataclass(frozen=True)
class Measured:
    """All slopes that the page needs.

    :param routing: routing decision in microseconds, by replicas.
    :param admission: admission in microseconds, by waiting requests.
    :param planner: planner's tick in microseconds, by VMs.
    :param knowledge: memory in KiB, by VMs.
    :param exchange_bytes: bytes sent a second, by nodes of the domain.
    :param exchange_cpu: milliseconds a second, by nodes of the domain.
    :param exchange_calls: calls made a second, by nodes of the domain.
    :param transport_ms: processor time of a gRPC call, both ends together.
    :param observation: milliseconds a second, by VMs that a node observes.
    :param requests: milliseconds a second, by requests of one part a second.
    :param relay: microseconds a part, by tokens a second.
    :param document: bytes of the configuration, by profiles.
    :param store_reads: reads a second, by failure domains.
    :param store_writes: writes a second, by failure domains.
    :param resident_mb: resident memory of a daemon in megabytes.
    """

    routing: Slope
    admission: Slope
    planner: Slope
    knowledge: Slope
    exchange_bytes: Slope
    exchange_cpu: Slope
    exchange_calls: Slope
    transport_ms: float
    observation: Slope
    requests: Slope
    relay: Slope
    document: Slope
    store_reads: Slope
    store_writes: Slope
    resident_mb: float
