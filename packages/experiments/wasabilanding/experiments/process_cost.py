"""Processor time and memory of running daemons, by size.

Explanation
===========

``python -m wasabilanding.experiments.process_cost`` starts small systems of
several sizes as separate processes and reads each daemon's processor time
and memory from the kernel: idle, for the cost of control, and under requests
of one part each, for the cost of a request. It prints the readings and the
straight line through them.
"""

import collections.abc
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import statistics
import tempfile
import time

import httpx
import typer

from wasabilanding.experiments import demo
from wasabilanding.experiments import launcher

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
WARM_UP_S = 6.0
SAMPLE_S = 10.0
IDLE_SIZES = ((1, 6), (1, 24), (1, 48), (3, 24), (6, 24))
REQUEST_RATES = (20, 40, 80)
CALLERS = 16
SERVICE = "escriba"
PROFILE = {
    "name": "draft",
    "kind": "replica",
    "model": "tarifa",
    "version": "v1",
    "vms_per_replica": 2,
    "replicas_per_domain": 2,
}


@dataclasses.dataclass(frozen=True)
class Reading:
    """One reading.

    :param name: what was varied.
    :param size: its size.
    :param cpu_share: processor seconds per second of one daemon.
    :param resident_bytes: resident memory of one daemon.
    """

    name: str
    size: float
    cpu_share: float
    resident_bytes: int


@dataclasses.dataclass(frozen=True)
class Line:
    """Straight line through readings.

    :param slope: growth per unit of size.
    :param intercept: value at size 0.
    """

    slope: float
    intercept: float

    def at(self, size: float) -> float:
        """Return the value at a size.

        :param size: the size.
        """
        return self.intercept + self.slope * size


def fit_line(
    points: collections.abc.Sequence[tuple[float, float]],
) -> Line:
    """Return the least-squares line through points.

    :param points: pairs of size and value, of at least two sizes.

    Examples
    ========

    >>> from wasabilanding.experiments import process_cost
    >>> process_cost.fit_line([(1, 3.0), (2, 5.0), (3, 7.0)])
    Line(slope=2.0, intercept=1.0)
    """
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    return Line(slope, intercept)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used.

    :param pid: its id.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process.

    :param pid: its id.
    """
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


def _sample(
    nodes: list[launcher.NodeHandle],
) -> tuple[float, int]:
    pids = [node.process.pid for node in nodes]
    begun = time.monotonic()
    before = [cpu_seconds(pid) for pid in pids]
    time.sleep(SAMPLE_S)
    after = [cpu_seconds(pid) for pid in pids]
    took = time.monotonic() - begun
    used = sum(after) - sum(before)
    memory = max(resident_bytes(pid) for pid in pids)
    return used / took / len(pids), memory


def _configure(system: launcher.System, folder: pathlib.Path) -> None:
    path = folder / "draft.json"
    path.write_text(json.dumps(PROFILE))
    url = system.nodes[0].administration_url
    demo.run_cli(url, "profile", "put", str(path))
    demo.run_cli(url, "service", "choose", SERVICE, "draft")
    demo.wait_until_serving(system, 2, demo.ASSEMBLY_TIMEOUT_S)


def idle_reading(nodes: int, vms: int) -> Reading:
    """Return what an idle daemon costs.

    :param nodes: entry VMs in the failure domain.
    :param vms: VMs of endpoints in the failure domain.
    """
    plan = launcher.Plan(("prov",), nodes, 2, vms // 2)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with launcher.System(plan, folder) as system:
            _configure(system, folder)
            time.sleep(WARM_UP_S)
            share, memory = _sample(system.nodes)
    label = f"idle, {nodes} entry VMs, {vms} VMs"
    return Reading(label, vms / nodes, share, memory)


def _ask_paced(url: str, rate: float, until: float) -> int:
    sent = 0
    begun = time.monotonic()
    with httpx.Client(base_url=url, timeout=10.0) as http:
        while time.monotonic() < until:
            body = {
                "model": SERVICE,
                "max_tokens": 1,
                "messages": [{"role": "user", "content": f"n {sent}"}],
            }
            http.post("/v1/chat/completions", json=body)
            sent += 1
            due = begun + sent / rate
            time.sleep(max(0.0, due - time.monotonic()))
    return sent


def request_reading(system: launcher.System, rate: float) -> Reading:
    """Return what requests of one part cost.

    :param system: a running system with one entry VM.
    :param rate: requests per second.
    """
    node = system.nodes[0]
    until = time.monotonic() + SAMPLE_S + 2.0
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        futures = [
            pool.submit(_ask_paced, node.callers_url, rate / CALLERS, until)
            for _ in range(CALLERS)
        ]
        time.sleep(1.0)
        share, memory = _sample([node])
        sent = sum(future.result() for future in futures)
    achieved = sent / (SAMPLE_S + 2.0)
    return Reading(f"{achieved:.0f} requests/s", achieved, share, memory)


def request_readings() -> list[Reading]:
    """Return what requests cost at several rates."""
    plan = launcher.Plan(("prov",), 1, 2, 3)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with launcher.System(plan, folder) as system:
            _configure(system, folder)
            time.sleep(WARM_UP_S)
            return [request_reading(system, rate) for rate in REQUEST_RATES]


def _report(title: str, readings: list[Reading]) -> Line:
    typer.echo(title)
    for reading in readings:
        typer.echo(
            f"  {reading.name}: {reading.cpu_share * 1000:.1f} ms/s, "
            f"{reading.resident_bytes / 1e6:.0f} MB"
        )
    line = fit_line([(r.size, r.cpu_share) for r in readings])
    typer.echo(
        f"  line: {line.intercept * 1000:.2f} ms/s and "
        f"{line.slope * 1000:.3f} ms/s for each unit"
    )
    return line


def main() -> None:
    """Print the readings and their lines."""
    idle = [idle_reading(nodes, vms) for nodes, vms in IDLE_SIZES]
    _report("control, by VMs that one node observes", idle[:3])
    _report(
        "control, by entry VMs",
        [
            dataclasses.replace(reading, size=nodes)
            for reading, (nodes, vms) in zip(idle, IDLE_SIZES)
            if vms == 24
        ],
    )
    _report("requests of one part, by rate", request_readings())


if __name__ == "__main__":
    main()
