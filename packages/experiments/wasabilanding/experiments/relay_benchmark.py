"""Compares the processor time of the token relay with a plain relay.

Explanation
===========

The benchmark runs three processes on loopback: an engine that sends one event
per token at a fixed rate, a relay, and a process whose callers read the
streams. The relay is either the node's own request path, from the HTTP server
for callers to the endpoint client, or a plain relay, which reads lines with
``aiter_lines`` of httpx and yields one chunk per token to quart.
``python -m wasabilanding.experiments.relay_benchmark`` prints one row per
rate and number of streams, with the ratio of the two costs.
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
DEFAULT_DURATION_S = 3.0
MS_PER_S = 1000
PERCENTILE = 0.95
END_OF_EVENT = b"\n\n"
END_OF_STREAM = b"data: [DONE]"
STOP_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class RelayResult:
    """Results of one relay in one case.

    :param cost_us: processor time per part in microseconds.
    :param p95_gap_ms: 95th percentile, over all tokens, of the time since the
        previous token, in milliseconds.
    :param max_first_token_ms: longest time to first token in milliseconds.
    :param tokens: number of tokens received.
    """

    cost_us: float
    p95_gap_ms: float
    max_first_token_ms: float
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


class _StreamReader:
    """Reads streams and records the times between their tokens."""

    def __init__(self) -> None:
        self.gaps_s: list[float] = []
        self.first_token_delays_s: list[float] = []
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
        started_s = trio.current_time()
        last_received_s = None
        async with http.stream(
            "POST", f"{url}/v1/chat/completions", json=body
        ) as response:
            async for chunk in response.aiter_raw():
                now_s = trio.current_time()
                count = chunk.count(END_OF_EVENT)
                self.tokens += count - chunk.count(END_OF_STREAM)
                if last_received_s is None:
                    self.first_token_delays_s.append(now_s - started_s)
                elif count:
                    self.gaps_s += [now_s - last_received_s] + [0.0] * (
                        count - 1
                    )
                last_received_s = now_s

    async def read_all(self, url: str, streams: int, rate: int) -> None:
        """Read streams whose starts are spread over one token interval.

        :param url: base URL of the relay.
        :param streams: number of streams.
        :param rate: tokens per second of one stream.
        """
        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(timeout=None, limits=limits) as http,
            trio.open_nursery() as nursery,
        ):
            for _ in range(streams):
                nursery.start_soon(self.read, http, url)
                await trio.sleep(1 / rate / streams)


def measure(
    kind: str, rate: int, streams: int, duration_s: float
) -> RelayResult:
    """Measure one relay in one case.

    :param kind: kind of relay, ``node`` or ``plain``.
    :param rate: tokens per second of one stream.
    :param streams: number of streams.
    :param duration_s: length of each stream in seconds.
    """
    token_count = max(2, int(rate * duration_s))
    engine_port, port = launcher.free_ports(2)
    engine_url = f"http://{launcher.HOST}:{engine_port}"
    url = f"http://{launcher.HOST}:{port}"
    parts = str(token_count * streams)
    reader = _StreamReader()
    with (
        _process("engine", str(engine_port), str(rate), str(token_count)),
        _process(kind, str(port), engine_url, parts),
    ):
        launcher.wait_for_http(f"{engine_url}/healthz")
        launcher.wait_for_http(f"{url}/benchmark/cost")
        trio.run(reader.read_all, url, streams, rate)
        cost_us = httpx.get(f"{url}/benchmark/cost").json()["cost_us"]
    gaps = sorted(reader.gaps_s)
    return RelayResult(
        cost_us=cost_us,
        p95_gap_ms=gaps[int(len(gaps) * PERCENTILE)] * MS_PER_S,
        max_first_token_ms=max(reader.first_token_delays_s) * MS_PER_S,
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
        "plain_gap_ms": round(plain.p95_gap_ms, 1),
        "node_gap_ms": round(node.p95_gap_ms, 1),
        "plain_first_ms": round(plain.max_first_token_ms, 1),
        "node_first_ms": round(node.max_first_token_ms, 1),
    }


def main(
    duration_s: float = DEFAULT_DURATION_S, as_json: bool = False
) -> None:
    """Print the cost per part of both relays for each case.

    :param duration_s: length of each stream in seconds.
    :param as_json: print one JSON object per line instead of a table.
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
