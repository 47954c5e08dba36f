"""CPU of the token relay, as a ratio to a plain relay in the same run.

Explanation
===========

Three processes on loopback: an engine that sends one event for each token at
a fixed rate, a relay, and callers that read. The relay is either the node's
own path, from the HTTP front for callers to the client of endpoints, or a
plain one: ``aiter_lines`` of httpx in and one yield of quart for each token
out. ``python -m wasabilanding.experiments.relay_benchmark`` prints one row
for each rate and number of streams.
"""

import collections.abc
import contextlib
import dataclasses
import json
import subprocess
import sys

import httpx
import trio
import typer

from wasabilanding.experiments import launcher
from wasabilanding.experiments import relay_processes

CASES = ((25, 1), (125, 1), (25, 64), (60, 32), (125, 32))
DEFAULT_S = 3.0
MS_PER_S = 1000
PERCENTILE = 0.95
END_OF_EVENT = b"\n\n"
END_OF_STREAM = b"data: [DONE]"
STOP_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class Figure:
    """What one relay cost in one case.

    :param cost_us: processor time per part in microseconds.
    :param gap_ms: 95th percentile, over all tokens, of the time since the
        token before, in milliseconds.
    :param first_ms: slowest first token in milliseconds.
    :param tokens: tokens that arrived.
    """

    cost_us: float
    gap_ms: float
    first_ms: float
    tokens: int


@contextlib.contextmanager
def _process(*arguments: str) -> collections.abc.Iterator[None]:
    module = relay_processes.__name__
    process = subprocess.Popen([sys.executable, "-m", module, *arguments])
    try:
        yield
    finally:
        process.terminate()
        process.wait(STOP_TIMEOUT_S)


class _Reader:
    """Reads streams and notes the gaps between their tokens."""

    def __init__(self) -> None:
        self.gaps_s: list[float] = []
        self.first_s: list[float] = []
        self.tokens = 0

    async def read(self, http: httpx.AsyncClient, url: str) -> None:
        """Read one stream.

        :param http: HTTP client.
        :param url: base URL of the relay.
        """
        body = {
            "model": relay_processes.SERVICE,
            "stream": True,
            "messages": [{"role": "user", "content": "hello"}],
        }
        begun = trio.current_time()
        last = None
        async with http.stream(
            "POST", f"{url}/v1/chat/completions", json=body
        ) as response:
            async for received in response.aiter_raw():
                now = trio.current_time()
                count = received.count(END_OF_EVENT)
                self.tokens += count - received.count(END_OF_STREAM)
                if last is None:
                    self.first_s.append(now - begun)
                elif count:
                    self.gaps_s += [now - last] + [0.0] * (count - 1)
                last = now

    async def read_all(self, url: str, streams: int, rate: int) -> None:
        """Read streams that start evenly over the time of one token.

        :param url: base URL of the relay.
        :param streams: how many.
        :param rate: tokens a second of one stream.
        """
        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(timeout=None, limits=limits) as http,
            trio.open_nursery() as nursery,
        ):
            for _ in range(streams):
                nursery.start_soon(self.read, http, url)
                await trio.sleep(1 / rate / streams)


def measure(kind: str, rate: int, streams: int, duration_s: float) -> Figure:
    """Measure one relay in one case.

    :param kind: node or plain.
    :param rate: tokens a second of one stream.
    :param streams: how many streams.
    :param duration_s: length of each stream in seconds.
    """
    length = max(2, int(rate * duration_s))
    engine_port, port = launcher.free_ports(2)
    engine_url = f"http://{launcher.HOST}:{engine_port}"
    url = f"http://{launcher.HOST}:{port}"
    parts = str(length * streams)
    reader = _Reader()
    with (
        _process("engine", str(engine_port), str(rate), str(length)),
        _process(kind, str(port), engine_url, parts),
    ):
        launcher.wait_for_http(f"{engine_url}/healthz")
        launcher.wait_for_http(f"{url}/benchmark/cost")
        trio.run(reader.read_all, url, streams, rate)
        cost = httpx.get(f"{url}/benchmark/cost").json()["cost_us"]
    gaps = sorted(reader.gaps_s)
    return Figure(
        cost_us=cost,
        gap_ms=gaps[int(len(gaps) * PERCENTILE)] * MS_PER_S,
        first_ms=max(reader.first_s) * MS_PER_S,
        tokens=reader.tokens,
    )


def _row(rate: int, streams: int, duration_s: float) -> dict[str, float]:
    plain = measure("plain", rate, streams, duration_s)
    node = measure("node", rate, streams, duration_s)
    return {
        "rate": rate,
        "streams": streams,
        "plain_us": round(plain.cost_us, 1),
        "node_us": round(node.cost_us, 1),
        "ratio": round(node.cost_us / plain.cost_us, 3),
        "plain_gap_ms": round(plain.gap_ms, 1),
        "node_gap_ms": round(node.gap_ms, 1),
        "plain_first_ms": round(plain.first_ms, 1),
        "node_first_ms": round(node.first_ms, 1),
    }


def main(duration_s: float = DEFAULT_S, as_json: bool = False) -> None:
    """Print the cost per part of both relays, case by case.

    :param duration_s: length of each stream in seconds.
    :param as_json: one JSON object a line in place of the table.
    """
    for index, (rate, streams) in enumerate(CASES):
        row = _row(rate, streams, duration_s)
        if as_json:
            print(json.dumps(row), flush=True)
            continue
        if not index:
            print("  ".join(row))
        cells = [f"{value:>{len(name)}}" for name, value in row.items()]
        print("  ".join(cells), flush=True)


if __name__ == "__main__":
    typer.run(main)
