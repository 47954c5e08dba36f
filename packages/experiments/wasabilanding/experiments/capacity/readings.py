"""Readings by size, with linear fits."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class Slope:
    """Readings at three or more sizes, with a linear fit.

    :param name: what was measured.
    :param size_name: what the sizes count.
    :param unit: unit of the readings.
    :param command: command that takes the readings.
    :param points: pairs of size and reading.
    """

    name: str
    size_name: str
    unit: str
    command: str
    points: tuple[tuple[float, float], ...]

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the least-squares fit.

        Examples
        ========

        >>> from wasabilanding.experiments import capacity
        >>> points = ((1, 3.0), (2, 5.0), (3, 7.0))
        >>> capacity.Slope("calls", "nodes", "1/s", "c", points).fit
        (2.0, 1.0)
        """
        sizes, values = zip(*self.points)
        line = statistics.linear_regression(sizes, values)
        return line.slope, line.intercept

    def predict(self, size: float) -> float:
        """Return the value of the linear fit at a size.

        :param size: the size.
        """
        slope, intercept = self.fit
        return intercept + slope * size

    @property
    def max_size_value(self) -> float:
        """Reading at the largest size."""
        return max(self.points)[1]


@dataclasses.dataclass(frozen=True)
class Measurements:
    """All measurements that the capacity page needs.

    :param routing: time of a routing decision in microseconds, by replicas.
    :param admission: time of an admission in microseconds, by queue length.
    :param planner: time of a planner tick in microseconds, by VMs.
    :param knowledge: memory of a node's cluster state in KiB, by VMs.
    :param exchange_bytes: bytes sent per second, by nodes of the domain.
    :param exchange_cpu: processor time in ms/s, by nodes of the domain.
    :param exchange_calls: calls made per second, by nodes of the domain.
    :param transport_ms: processor time of a gRPC call, client plus server.
    :param observation: processor time in ms/s, by VMs that a node observes.
    :param requests: processor time in ms/s, by one-part requests per second.
    :param relay: processor time per part in microseconds, by tokens/s.
    :param document: encoded configuration in bytes, by profiles.
    :param store_reads: reads per second, by failure domains.
    :param store_writes: writes per second, by failure domains.
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
