"""Load of the exchange on one node, by nodes in its failure domain.

Explanation
===========

``python -m wasabilanding.experiments.exchange_scale`` runs the exchange of
one failure domain at several sizes by direct calls
(:mod:`wasabilanding.experiments.exchange_harness`) and measures what one
call costs over gRPC on loopback besides. It prints one row a size and the
straight lines through the rows of as many failure domains.
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
LINES = ("calls_made", "sent_bytes", "received_bytes", "cpu_ms", "age_p99_s")
HEAD = (
    "nodes  domains  calls made/s  answered/s  sent B/s  received B/s  "
    "request B  reply B  cpu ms/s  age median  p99  max s"
)


async def transport_ms() -> float:
    """Return the processor time of a gRPC call, both ends, in ms."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    reply = peers.ExchangeReply(informed=True)
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        nursery.start_soon(
            peers.serve_exchange, "127.0.0.1", port, lambda request: reply
        )
        await trio.sleep(0.5)
        with peers.PeerChannel(f"127.0.0.1:{port}") as channel:
            await channel.exchange(peers.ExchangeRequest())
            begun = time.process_time()
            for _ in range(TRANSPORT_CALLS):
                await channel.exchange(peers.ExchangeRequest())
            spent_s = time.process_time() - begun
        nursery.cancel_scope.cancel()
    return spent_s / TRANSPORT_CALLS * MS_PER_S


def _row(shape: exchange_harness.Shape, load: exchange_harness.Load) -> str:
    return (
        f"{shape.nodes:5d}  {shape.failure_domains:7d}  "
        f"{load.calls_made:12.2f}  {load.calls_answered:10.2f}  "
        f"{load.sent_bytes:8.0f}  {load.received_bytes:12.0f}  "
        f"{load.request_bytes:9.0f}  {load.reply_bytes:7.0f}  "
        f"{load.cpu_ms:8.2f}  {load.age_median_s:10.2f}  "
        f"{load.age_p99_s:.2f}  {load.age_max_s:.2f}"
    )


def _print_lines(nodes: list[int], loads: list[exchange_harness.Load]) -> None:
    for name in LINES:
        values = [getattr(load, name) for load in loads]
        line = statistics.linear_regression(nodes, values)
        print(f"{name}: {line.intercept:.2f} + {line.slope:.3f} a node")


def main(
    sizes: list[int] = typer.Option(
        list(SIZES), help="Nodes in the failure domain."
    ),
    failure_domains: list[int] = typer.Option(
        [3], help="Failure domains in all."
    ),
    measured_s: float = typer.Option(6.0, help="Measured time in seconds."),
) -> None:
    """Measure the exchange at several sizes.

    :param sizes: nodes in the failure domain.
    :param failure_domains: failure domains in all.
    :param measured_s: measured time in seconds.
    """
    cost_ms = trio.run(transport_ms)
    print(f"a call over gRPC, both ends: {cost_ms:.2f} ms")
    print(HEAD)
    rows: dict[int, list[exchange_harness.Load]] = {}
    for domains, nodes in itertools.product(failure_domains, sizes):
        shape = exchange_harness.Shape(
            nodes=nodes,
            vms=round(nodes * VMS_PER_NODE),
            failure_domains=domains,
            measured_s=measured_s,
        )
        load = exchange_harness.Harness(shape).run()
        rows.setdefault(domains, []).append(load)
        print(_row(shape, load), flush=True)
    for domains, loads in rows.items():
        if len(sizes) > 1:
            print(f"lines at {domains} failure domains:")
            _print_lines(sizes, loads)


if __name__ == "__main__":
    typer.run(main)
