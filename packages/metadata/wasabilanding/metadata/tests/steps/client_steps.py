"""Steps for calls to the platform's service."""

import collections
import dataclasses
import json
import random

import behave
import httpx
import trio
import trio.testing

from wasabilanding import configuration
from wasabilanding import metadata

URL = "http://platform"
CALLS = {
    "get": lambda client: client.get("k"),
    "watch": lambda client: client.watch("k", 0, 1.0),
    "put": lambda client: client.put("k", "v", 0),
    "grant_lease": lambda client: client.grant_lease(3.0),
    "renew_lease": lambda client: client.renew_lease("l"),
    "list_vms": lambda client: client.list_vms("prov"),
}
REVISION = 5


def _run(function, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def _client(handler, seed=1):
    return metadata.PlatformClient(
        URL, httpx.MockTransport(handler), random.Random(seed)
    )


@behave.when(
    '"{operation}" is answered with status {status:d} and body {body}'
)
def answer(context, operation, status, body):
    """Make one call."""

    async def handler(request):
        return httpx.Response(status, text=body)

    async def call():
        async with _client(handler) as client:
            return await CALLS[operation](client)

    context.result = _run(call)


def _vm(name, address=b'"http://10.0.0.1:80"'):
    return (
        b'{"vm": "%s", "address": %s, "failure_domain": "prov", '
        b'"fabric_domain": "f"}' % (name, address)
    )


_DEEP = b"[" * 50_000 + b"]" * 50_000
ODD_VMS = {
    "no object": b"5",
    "no address": b'{"vm": "x"}',
    "deep": _DEEP,
    "deep address": _vm(b"x", _DEEP),
    "many digits": _vm(b"x", b"9" * 5_000),
    "infinite": b'{"accelerators": 1e999}',
    "not a number": b'{"accelerators": NaN}',
    "half surrogate": _vm(b"x", b'"\\ud800"'),
    "no UTF-8": _vm(b"x", b'"\xff"'),
    "port 65536": _vm(b"x", b'"http://10.0.0.1:65536"'),
    "port huge": _vm(b"x", b'"http://10.0.0.1:%s"' % (b"9" * 400)),
    "port no number": _vm(b"x", b'"http://10.0.0.1:a"'),
    "no scheme": _vm(b"x", b'"10.0.0.1:80"'),
    "space": _vm(b"x", b'"http://a b"'),
    "line break": _vm(b"x", b'"http://10.0.0.1\\n"'),
    "IPv6 cut": _vm(b"x", b'"http://[::1"'),
}


@behave.when('the list of VMs has a "{word}" entry between two valid ones')
def list_odd(context, word):
    """Read a list with one odd entry."""
    body = b"[%s, %s, %s]" % (_vm(b"v1"), ODD_VMS[word], _vm(b"v2"))

    async def handler(request):
        return httpx.Response(200, content=body)

    async def call():
        async with _client(handler) as client:
            return await client.list_vms("prov")

    context.result = _run(call)


@behave.then("the valid VMs are read")
def check_vms(context):
    """Compare the VMs."""
    assert isinstance(context.result, metadata.VmList), context.result
    names = [vm.vm for vm in context.result.vms]
    assert names == ["v1", "v2"], context.result


@behave.then("the result is {name}")
def check_result(context, name):
    """Compare the result type."""
    assert type(context.result).__name__ == name, context.result


READS = {
    "configuration": metadata.read_configuration,
    "record": lambda client: metadata.read_record(client, "prov"),
}


@behave.when("the store holds {value} for the {document}")
def read_document(context, value, document):
    """Read the document."""

    async def handler(request):
        body = {"value": value, "revision": REVISION}
        return httpx.Response(200, text=json.dumps(body))

    async def call():
        async with _client(handler) as client:
            return await READS[document](client)

    context.result = _run(call)


@behave.then("reading the {document} returns Unavailable and names revision 5")
def check_malformed(context, document):
    """Compare the result type and its detail."""
    assert isinstance(context.result, metadata.Unavailable), context.result
    assert f"{REVISION}" in context.result.detail, context.result


class _FaultyStore:
    """One key with compare-and-swap; each fault affects one call."""

    def __init__(self, faults):
        self.faults = faults
        self.value = None
        self.revision = 0
        self.late_write = None

    def handle(self, request):
        """Answer a call."""
        if request.method == "GET":
            return self._get()
        expected = int(request.url.params["expected"])
        return self._put(request.content.decode(), expected)

    def _next_fault(self, *kinds):
        if self.faults and self.faults[0] in kinds:
            return self.faults.pop(0)
        return ""

    def _get(self):
        if self._next_fault("an outage"):
            raise httpx.ConnectError("down")
        if self._next_fault("another operator"):
            self.value = configuration_text(["other"])
            self.revision += 1
        if self.value is None:
            return httpx.Response(404)
        body = {"value": self.value, "revision": self.revision}
        return httpx.Response(200, text=json.dumps(body))

    def _put(self, text, expected):
        fault = self._next_fault(
            "a lost answer",
            "a lost race",
            "a lost write",
            "a late write",
            "an overload",
        )
        if fault == "a lost race":
            self.value = configuration_text(["other"])
            self.revision += 1
        if fault == "a late write":
            self.late_write = text, expected
            raise httpx.ReadTimeout("no answer")
        if fault == "an overload":
            return httpx.Response(429)
        if fault == "a lost write":
            raise httpx.ReadTimeout("no answer")
        if expected != self.revision:
            return httpx.Response(409, text=f'{{"revision": {self.revision}}}')
        self._store(text)
        if fault == "a lost answer":
            raise httpx.ReadTimeout("no answer")
        return httpx.Response(200, text=f'{{"revision": {self.revision}}}')

    def _store(self, text):
        self.value = text
        self.revision += 1

    def apply_late_write(self):
        """Apply a late write if its expected revision is current."""
        if self.late_write and self.late_write[1] == self.revision:
            self._store(self.late_write[0])


def configuration_text(customers):
    """Return a stored configuration with customers."""
    return json.dumps({"customers": {name: {} for name in customers}})


def _change(document):
    customers = {**document.customers}
    count = sum(name.startswith("mine") for name in customers)
    customers[f"mine{count}"] = configuration.Customer()
    return dataclasses.replace(document, customers=customers)


async def _accept_change(store):
    async def handler(request):
        return store.handle(request)

    async with _client(handler) as client:
        return await metadata.accept_change(client, _change)


@behave.when("an operator's change encounters {faults}")
def change(context, faults):
    """Apply a change that counts how often it took effect."""
    listed = [] if faults == "nothing" else faults.split(", ")
    context.store = _FaultyStore(listed)
    context.result = _run(_accept_change, context.store)
    context.store.apply_late_write()


@behave.then("the change ends as {name}")
def check_change(context, name):
    """Compare the result type."""
    assert type(context.result).__name__ == name, context.result


@behave.then("it took effect {times:d} times")
def check_times(context, times):
    """Count the customers that the change added to the store."""
    held = json.loads(context.store.value or "{}").get("customers", {})
    count = sum(name.startswith("mine") for name in held)
    assert count == times, held


class _Service:
    """Counts calls; down until ``down`` is cleared."""

    def __init__(self):
        self.down = True
        self.sent = collections.Counter()
        self.answered_at = {}

    async def handle(self, node):
        """Answer a call of a node."""
        if self.down:
            self.sent[node] += 1
            raise httpx.ConnectError("down")
        self.answered_at.setdefault(node, trio.current_time())
        return httpx.Response(200, text='{"value": "x", "revision": 1}')


async def _loop(client):
    while True:
        await client.get("k")
        await trio.sleep(0.1)


async def _outage(nodes, loops, outage_s):
    service = _Service()
    async with trio.open_nursery() as nursery:
        for node in range(nodes):

            async def handler(request, node=node):
                return await service.handle(node)

            client = _client(handler, seed=node)
            for _ in range(loops):
                nursery.start_soon(_loop, client)
        await trio.sleep(outage_s)
        service.down = False
        returned_at = trio.current_time()
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    return service, returned_at


@behave.given("{nodes:d} nodes with {loops:d} loops that call every 0.1 s")
def given_loops(context, nodes, loops):
    """Store the numbers of nodes and loops."""
    context.sizes = nodes, loops


@behave.when("the service is down for {outage:d} s and then returns")
def outage(context, outage):
    """Run the outage."""
    context.service, context.returned_at = _run(
        _outage, *context.sizes, outage
    )


@behave.then("each node sent at most {sent:d} calls during the outage")
def check_sent(context, sent):
    """Compare the largest number of calls of a node."""
    most = max(context.service.sent.values())
    assert most <= sent, most


@behave.then("every node was answered within {recovery_s:g} s of the return")
def check_recovery(context, recovery_s):
    """Compare the last node's first answer."""
    answered = context.service.answered_at
    assert len(answered) == context.sizes[0], answered
    waits = [at - context.returned_at for at in answered.values()]
    assert max(waits) <= recovery_s, max(waits)


@behave.then(
    "at most {burst:d} nodes got their first answer in the same tenth of a "
    "second"
)
def check_burst(context, burst):
    """Count the first answers in each tenth of a second."""
    counts = collections.Counter(
        int(at * 10) for at in context.service.answered_at.values()
    )
    assert max(counts.values()) <= burst, counts
