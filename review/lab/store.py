"""Stand-in of the platform's metadata store, as PROTOCOL describes it."""

import asyncio
import base64
import contextlib
import json
import time

from lab import http

PAGE_ITEMS = 500
KEY_NOT_THERE = 0


class Store:
    """The store; speaks HTTP on a loopback address."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.era = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections: set = set()
        # Calls by path, for the record.
        self.calls: dict[str, int] = {}

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire())

    def close(self) -> None:
        """Close all connections."""
        self._expiry.cancel()
        for writer in list(self._connections):
            writer.close()

    def put(self, key: str, document: object, lease: int = 0) -> int:
        """Write a document, as the operator and the servers do."""
        text = json.dumps(document).encode()
        return self.put_text(key, base64.b64encode(text).decode(), lease)

    def put_text(self, key: str, value: str, lease: int = 0) -> int:
        """Write a value in Base64."""
        self.revision += 1
        created = self.items.get(key, {}).get("createdRev", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def _record(self, event: dict) -> None:
        self.history.append(event)
        del self.history[:-20000]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ends_at, _) in list(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def _serve(self, reader, writer) -> None:
        self._connections.add(writer)
        with contextlib.suppress(ConnectionError):
            while True:
                request = await http.read_message(reader)
                if request is None or not request.is_whole:
                    break
                self.calls[request.path] = self.calls.get(request.path, 0) + 1
                status, document = await self._handle(request)
                writer.write(
                    http.json_response(
                        status, document, Store_Era=str(self.era)
                    )
                )
                await writer.drain()
        self._connections.discard(writer)
        writer.close()

    async def _handle(self, request: http.Message) -> tuple[int, object]:
        call = request.path.removeprefix("/api/").split("/")
        query = request.query
        body = json.loads(request.body) if request.body else {}
        if call[0] == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"asOf": self.revision}
        if call[0] == "kv-range":
            return 200, self._range(query)
        if call[0] == "kv-watch":
            return await self._watch(query)
        if call[0] == "kv-txn":
            return self._commit(body)
        if call[0] == "kv-lease":
            ttl_s = min(max(body["ttlMs"], 1000), 600000) / 1000
            self._next_lease += 1
            ends_at = time.monotonic() + ttl_s
            self._leases[self._next_lease] = (ends_at, ttl_s)
            return 200, {"lease": self._next_lease, "ttlMs": ttl_s * 1000}
        if call[0] == "kv-keep":
            lease = int(call[1])
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": ttl_s * 1000}
        if call[0] == "kv-lease-end":
            self._end_lease(int(call[1]))
            return 200, {}
        return 404, {}

    def _range(self, query: dict) -> dict:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        found = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {
            "items": found,
            "truncated": len(keys) > PAGE_ITEMS,
            "asOf": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, object]:
        prefix = query.get("prefix", "")
        after = int(query["after"])
        ends_at = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                events.reverse()
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, body: dict) -> tuple[int, object]:
        keys = [row["key"] for row in body.get("writes", [])]
        keys += body.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in body.get("expected", []):
            found = self.items.get(row["key"], {}).get("revision", 0)
            if found != row["revision"]:
                current = [
                    self.items[r["key"]]
                    for r in body["expected"]
                    if r["key"] in self.items
                ]
                return 412, {"items": current}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put_text(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
