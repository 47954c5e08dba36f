"""Measures processor time and memory of running daemons by size.

Explanation
===========

``python -m wasabilanding.experiments.process_cost`` starts small systems of
several sizes as separate processes and reads each daemon's processor time and
memory from ``/proc``: idle, to measure the cost of control, and under
requests of one part each, to measure the cost of a request. It prints the
readings and linear fits.
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
CALLER_COUNT = 16
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

    :param name: label that states the varied quantity.
    :param size: value of the varied quantity.
    :param cpu_share: processor time of one daemon per elapsed time.
    :param resident_bytes: resident memory of one daemon.
    """

    name: str
    size: float
    cpu_share: float
    resident_bytes: int


@dataclasses.dataclass(frozen=True)
class Line:
    """Linear fit of readings.

    :param slope: increase per unit of size.
    :param intercept: value at size 0.
    """

    slope: float
    intercept: float

    def at(self, size: float) -> float:
        """Return the value of the linear fit at a size.

        :param size: the size.
        """
        return self.intercept + self.slope * size


def fit_line(
    points: collections.abc.Sequence[tuple[float, float]],
) -> Line:
    """Return the least-squares fit of points.

    :param points: pairs of size and value, with at least two sizes.

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
    """Return the processor time that a process has used, in seconds.

    :param pid: process id.
    """
    stat_line = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat_line.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes.

    :param pid: process id.
    """
    statm_line = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(statm_line.split()[1]) * PAGE_BYTES


def _sample(
    nodes: list[launcher.NodeHandle],
) -> tuple[float, int]:
    pids = [node.process.pid for node in nodes]
    started_s = time.monotonic()
    before = [cpu_seconds(pid) for pid in pids]
    time.sleep(SAMPLE_S)
    after = [cpu_seconds(pid) for pid in pids]
    elapsed_s = time.monotonic() - started_s
    cpu_used_s = sum(after) - sum(before)
    max_resident_bytes = max(resident_bytes(pid) for pid in pids)
    return cpu_used_s / elapsed_s / len(pids), max_resident_bytes


def _configure_service(system: launcher.System, folder: pathlib.Path) -> None:
    path = folder / "draft.json"
    path.write_text(json.dumps(PROFILE))
    url = system.nodes[0].administration_url
    demo.run_cli(url, "profile", "put", str(path))
    demo.run_cli(url, "service", "choose", SERVICE, "draft")
    demo.wait_until_serving(system, 2, demo.ASSEMBLY_TIMEOUT_S)


def idle_reading(nodes: int, vms: int) -> Reading:
    """Return a reading of an idle daemon.

    :param nodes: entry VMs in the failure domain.
    :param vms: VMs of endpoints in the failure domain.
    """
    plan = launcher.Plan(("prov",), nodes, 2, vms // 2)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with launcher.System(plan, folder) as system:
            _configure_service(system, folder)
            time.sleep(WARM_UP_S)
            cpu_share, max_resident_bytes = _sample(system.nodes)
    label = f"idle, {nodes} entry VMs, {vms} VMs"
    return Reading(label, vms / nodes, cpu_share, max_resident_bytes)


def _send_paced_requests(url: str, rate: float, stop_at_s: float) -> int:
    sent = 0
    started_s = time.monotonic()
    with httpx.Client(base_url=url, timeout=10.0) as http:
        while time.monotonic() < stop_at_s:
            body = {
                "model": SERVICE,
                "max_tokens": 1,
                "messages": [{"role": "user", "content": f"n {sent}"}],
            }
            http.post("/v1/chat/completions", json=body)
            sent += 1
            next_send_s = started_s + sent / rate
            time.sleep(max(0.0, next_send_s - time.monotonic()))
    return sent


def request_reading(system: launcher.System, rate: float) -> Reading:
    """Return a reading of a daemon that serves one-part requests.

    :param system: a running system with one entry VM.
    :param rate: requests per second.
    """
    node = system.nodes[0]
    stop_at_s = time.monotonic() + SAMPLE_S + 2.0
    with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        futures = [
            pool.submit(
                _send_paced_requests,
                node.callers_url,
                rate / CALLER_COUNT,
                stop_at_s,
            )
            for _ in range(CALLER_COUNT)
        ]
        time.sleep(1.0)
        cpu_share, max_resident_bytes = _sample([node])
        sent = sum(future.result() for future in futures)
    achieved = sent / (SAMPLE_S + 2.0)
    return Reading(
        f"{achieved:.0f} requests/s", achieved, cpu_share, max_resident_bytes
    )


def request_readings() -> list[Reading]:
    """Return a reading for each request rate."""
    plan = launcher.Plan(("prov",), 1, 2, 3)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with launcher.System(plan, folder) as system:
            _configure_service(system, folder)
            time.sleep(WARM_UP_S)
            return [request_reading(system, rate) for rate in REQUEST_RATES]


def _print_readings(title: str, readings: list[Reading]) -> Line:
    typer.echo(title)
    for reading in readings:
        typer.echo(
            f"  {reading.name}: {reading.cpu_share * 1000:.1f} ms/s, "
            f"{reading.resident_bytes / 1e6:.0f} MB"
        )
    line = fit_line([(r.size, r.cpu_share) for r in readings])
    typer.echo(
        f"  linear fit: {line.intercept * 1000:.2f} ms/s + "
        f"{line.slope * 1000:.3f} ms/s per unit"
    )
    return line


def main() -> None:
    """Print the readings and their linear fits."""
    idle = [idle_reading(nodes, vms) for nodes, vms in IDLE_SIZES]
    _print_readings("control, by VMs that one node observes", idle[:3])
    _print_readings(
        "control, by entry VMs",
        [
            dataclasses.replace(reading, size=nodes)
            for reading, (nodes, vms) in zip(idle, IDLE_SIZES)
            if vms == 24
        ],
    )
    _print_readings("requests of one part, by rate", request_readings())


if __name__ == "__main__":
    main()
