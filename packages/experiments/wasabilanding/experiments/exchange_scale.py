"""Measures the exchange load of a node, by nodes in its failure domain.

Explanation
===========

``python -m wasabilanding.experiments.exchange_scale`` runs the exchange of
one failure domain at several sizes by direct calls
(:mod:`wasabilanding.experiments.exchange_harness`) and measures the processor
time of a gRPC call on loopback. It prints one row per size and, for each
number of failure domains, linear fits over the sizes.
"""

import contextlib
import itertools
import socket
import statistics
import time

import trio
import trio_asyncio
import typer

from wasabilanding.experiments import exchange_harness
from wasabilanding import peers

SIZES = (9, 45, 93)
VMS_PER_NODE = 667 / 93
TRANSPORT_CALLS = 300
MS_PER_S = 1000
FITTED_FIELDS = (
    "calls_made",
    "sent_bytes",
    "received_bytes",
    "cpu_ms",
    "age_p99_s",
)
HEADER = (
    "nodes  domains  calls made/s  answered/s  sent B/s  received B/s  "
    "request B  reply B  cpu ms/s  age median  p99  max s"
)


async def transport_ms() -> float:
    """Return the processor time of a gRPC call, client plus server, in ms."""
    with contextlib.closing(socket.socket()) as port_socket:
        port_socket.bind(("127.0.0.1", 0))
        port = port_socket.getsockname()[1]
    reply = peers.ExchangeReply(informed=True)
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        nursery.start_soon(
            peers.serve_exchange, "127.0.0.1", port, lambda request: reply
        )
        await trio.sleep(0.5)
        with peers.PeerChannel(f"127.0.0.1:{port}") as channel:
            await channel.exchange(peers.ExchangeRequest())
            started_s = time.process_time()
            for _ in range(TRANSPORT_CALLS):
                await channel.exchange(peers.ExchangeRequest())
            cpu_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return cpu_s / TRANSPORT_CALLS * MS_PER_S


def _row(
    config: exchange_harness.HarnessConfig, load: exchange_harness.Load
) -> str:
    return (
        f"{config.nodes:5d}  {config.failure_domains:7d}  "
        f"{load.calls_made:12.2f}  {load.calls_answered:10.2f}  "
        f"{load.sent_bytes:8.0f}  {load.received_bytes:12.0f}  "
        f"{load.request_bytes:9.0f}  {load.reply_bytes:7.0f}  "
        f"{load.cpu_ms:8.2f}  {load.age_median_s:10.2f}  "
        f"{load.age_p99_s:.2f}  {load.age_max_s:.2f}"
    )


def _print_fits(nodes: list[int], loads: list[exchange_harness.Load]) -> None:
    for name in FITTED_FIELDS:
        values = [getattr(load, name) for load in loads]
        fit = statistics.linear_regression(nodes, values)
        print(f"{name}: {fit.intercept:.2f} + {fit.slope:.3f} per node")


def main(
    sizes: list[int] = typer.Option(
        list(SIZES), help="Numbers of nodes in the failure domain."
    ),
    failure_domains: list[int] = typer.Option(
        [3], help="Total numbers of failure domains."
    ),
    measured_s: float = typer.Option(
        6.0, help="Simulated time of the measurement in seconds."
    ),
) -> None:
    """Measure the exchange at several sizes.

    :param sizes: numbers of nodes in the failure domain.
    :param failure_domains: total numbers of failure domains.
    :param measured_s: simulated time of the measurement in seconds.
    """
    call_ms = trio.run(transport_ms)
    print(f"gRPC call, client plus server: {call_ms:.2f} ms")
    print(HEADER)
    loads_by_domain_count: dict[int, list[exchange_harness.Load]] = {}
    for domains, nodes in itertools.product(failure_domains, sizes):
        config = exchange_harness.HarnessConfig(
            nodes=nodes,
            vms=round(nodes * VMS_PER_NODE),
            failure_domains=domains,
            measured_s=measured_s,
        )
        load = exchange_harness.Harness(config).run()
        loads_by_domain_count.setdefault(domains, []).append(load)
        print(_row(config, load), flush=True)
    for domains, loads in loads_by_domain_count.items():
        if len(sizes) > 1:
            print(f"linear fits at {domains} failure domains:")
            _print_fits(sizes, loads)


if __name__ == "__main__":
    typer.run(main)
