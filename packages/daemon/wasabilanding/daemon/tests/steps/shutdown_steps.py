"""Steps for graceful shutdown."""

import concurrent.futures
import contextlib
import dataclasses
import http.server
import json
import pathlib
import signal
import tempfile
import threading
import time

import behave
import httpx
import trio

from wasabilanding.experiments import chat_client
from wasabilanding.experiments import cluster
from wasabilanding.experiments import demo
from wasabilanding.experiments import launcher
from wasabilanding.experiments import submissions

STREAMS = 3
ANSWER_TOKENS = 400
PLAIN_CALL_S = 2.5
START_DELAY_S = 0.5
NOTICE_DELAY_S = 0.3
STOP_TIMEOUT_S = 15.0
LEAVE_DELAY_S = 1.0
REROUTE_DELAY_S = 3.0
PLAIN_ANSWER = b"price sheet"
PROMPT = "bulletin of the morning"
DEADLINE = {"X-Deadline-Ms": "600000"}


class _SlowHandler(http.server.BaseHTTPRequestHandler):
    """Plain service whose calls outlast the shutdown notice."""

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(PLAIN_CALL_S)
        self.send_response(200)
        self.send_header("Content-Length", str(len(PLAIN_ANSWER)))
        self.end_headers()
        self.wfile.write(PLAIN_ANSWER)

    def log_message(self, *arguments):
        pass


@contextlib.contextmanager
def _plain_service():
    server = http.server.ThreadingHTTPServer((launcher.HOST, 0), _SlowHandler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"http://{launcher.HOST}:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def _configure(node, folder, plain_url):
    profiles = {
        "draft": dict(demo.PROFILE, name="draft", replicas_per_domain=1),
        "prices": {
            "name": "prices",
            "kind": "plain",
            "addresses": {"prov": [plain_url]},
        },
    }
    services = {demo.SERVICE: "draft", "listas": "prices"}
    for name, profile in profiles.items():
        path = folder / f"{name}.json"
        path.write_text(json.dumps(profile))
        demo.run_cli(node.administration_url, "profile", "put", str(path))
    for service, name in services.items():
        demo.run_cli(
            node.administration_url, "service", "choose", service, name
        )


def _is_answer_complete(url, prompt):
    body = {
        "model": demo.SERVICE,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": prompt}],
    }
    answer = httpx.post(f"{url}/v1/chat/completions", json=body, timeout=60.0)
    text = answer.json()["choices"][0]["message"]["content"]
    return text == submissions.expected_answer(prompt, ANSWER_TOKENS)


def _is_stream_complete(url, prompt):
    request = chat_client.ChatRequest(demo.SERVICE, prompt, ANSWER_TOKENS)
    return chat_client.send_request(url, request).complete


def _is_plain_answer_complete(url):
    answer = httpx.post(
        f"{url}/services/listas/sheet", content=b"new prices", timeout=60.0
    )
    return answer.content == PLAIN_ANSWER


@behave.given("an entry VM in its own process")
def start(context):
    """Start a system with one entry VM."""
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
    plain_url = stack.enter_context(_plain_service())
    plan = launcher.Plan(("prov",), fabrics_per_domain=1)
    system = stack.enter_context(launcher.System(plan, folder))
    context.node = system.nodes[0]
    _configure(context.node, folder, plain_url)
    demo.wait_until_serving(system, 1, demo.ASSEMBLY_TIMEOUT_S)


@behave.given(
    "streams, a non-streamed request and a plain call in flight on it"
)
def begin(context):
    """Start requests that outlast the shutdown notice."""
    pool = concurrent.futures.ThreadPoolExecutor(STREAMS + 2)
    context.add_cleanup(pool.shutdown)
    url = context.node.callers_url
    context.answers = [
        pool.submit(_is_stream_complete, url, f"{PROMPT} {index}")
        for index in range(STREAMS)
    ]
    context.answers.append(
        pool.submit(_is_answer_complete, url, f"{PROMPT} whole")
    )
    context.answers.append(pool.submit(_is_plain_answer_complete, url))
    time.sleep(START_DELAY_S)


@behave.given("a keep-alive connection that has been used before")
def use_connection(context):
    """Use a connection and keep it open."""
    context.http = httpx.Client()
    context.add_cleanup(context.http.close)
    ready = context.http.get(f"{context.node.callers_url}/readyz")
    assert ready.status_code == 200, ready.status_code
    assert "connection" not in ready.headers, ready.headers


@behave.when("the entry VM gets two stop signals")
def stop(context):
    """Send the signal twice."""
    context.node.process.send_signal(signal.SIGTERM)
    time.sleep(NOTICE_DELAY_S / 2)
    context.node.process.send_signal(signal.SIGTERM)
    time.sleep(NOTICE_DELAY_S / 2)


@behave.then("it answers not ready and closes the keep-alive connection")
def check_notice(context):
    """Check readiness and the Connection header."""
    ready = context.http.get(f"{context.node.callers_url}/readyz")
    assert ready.status_code == 503, ready.status_code
    assert ready.headers.get("connection") == "close", ready.headers


@behave.then("each answer in flight is complete")
def check_answers(context):
    """Compare all answers."""
    complete = [answer.result() for answer in context.answers]
    assert all(complete), complete


@behave.then("the process exits with status 0")
def check_end(context):
    """Wait for the process to exit."""
    status = context.node.process.wait(STOP_TIMEOUT_S)
    assert status == 0, status


@behave.then("new connections are refused")
def check_refused(context):
    """Try a new connection."""
    try:
        httpx.get(f"{context.node.callers_url}/readyz")
    except httpx.ConnectError:
        return
    raise AssertionError("a stopped entry VM accepted a connection")


async def _run_leaving(sign, parts):
    async with submissions.open_system() as system:
        leader = submissions.leader(system)
        seen = []

        async def ask():
            seen.append(
                await submissions.send(system, PROMPT, DEADLINE, parts)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(LEAVE_DELAY_S)
            if sign == "its own word":
                system.engine(leader).leaving = True
            else:
                system.list_vms(
                    dataclasses.replace(vm, leaving=vm.vm == leader)
                    for vm in system.plan.vms
                )
            await trio.sleep(REROUTE_DELAY_S)
            later = [
                await submissions.send(system, f"{PROMPT} {index}")
                for index in range(3)
            ]
        ran = [
            prompt
            for fleet in system.fleets.values()
            for _, prompt, vm in fleet.log
            if vm == leader
        ]
        return seen[0], later, ran


@behave.when(
    "an endpoint signals by {sign} that it leaves during a stream of "
    "{parts:d} parts"
)
def leave(context, sign, parts):
    """Let the endpoint leave while it serves a stream."""
    context.parts = parts
    context.seen, context.later, context.ran = cluster.run_seeded(
        _run_leaving, sign, parts
    )


@behave.then("that stream is complete and ran once")
def check_stream(context):
    """Check the stream that was in flight."""
    expected = submissions.expected_answer(PROMPT, context.parts)
    seen = dataclasses.replace(context.seen, text="")
    assert context.seen.text == expected, (seen, len(context.seen.text))
    assert context.seen.runs == 1, seen


@behave.then("requests sent 3 s later run on other endpoints")
def check_elsewhere(context):
    """Compare where later requests ran."""
    assert all(s.verdict == "completed" for s in context.later), context.later
    assert context.ran == [PROMPT], context.ran
