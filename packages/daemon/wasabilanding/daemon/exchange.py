"""Exchanges documents and reports with the other nodes."""

import contextlib
import logging

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import membership
from wasabilanding import peers

# Jitter keeps nodes that started together from exchanging in lockstep.
JITTER_RATIO = 0.1

_LOG = logging.getLogger(__name__)


class Exchanger:
    """Runs exchanges with peers over connections that it keeps open.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._peer_selector = membership.PeerSelector(
            context.settings.seeds, context.rng
        )
        self._channels: dict[str, peers.Channel] = {}
        self._cursors: dict[str, peers.Cursor] = {}
        self._refused = peers.RefusedRevisions()
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Exchange with a few peers each round until cancelled.

        A round does not wait for the calls of the previous round. A slow peer
        is skipped until its pending call is answered or times out.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self._close)
            async with trio.open_nursery() as nursery:
                while True:
                    for address in self._next_round():
                        nursery.start_soon(self._exchange_once, address)
                    await trio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        context = self._context
        jitter = context.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        return context.settings.exchange_interval_s * jitter

    def _next_round(self) -> list[str]:
        context = self._context
        now = context.now()
        context.members.increment_heartbeat(now)
        context.members.forget(now)
        self._disconnect_unknown()
        chosen = self._peer_selector.next_round(
            context.members, now, not context.known.informed
        )
        return [address for address in chosen if address not in self._busy]

    def _disconnect_unknown(self) -> None:
        kept = {node.address for node in self._context.members.others}
        kept |= {*self._context.settings.seeds}
        for address in set(self._channels) - kept - self._busy:
            self._disconnect(address)

    def _disconnect(self, address: str) -> None:
        self._cursors.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def _channel(self, address: str) -> peers.Channel:
        if address not in self._channels:
            self._channels[address] = self._context.connect_peer(address)
        return self._channels[address]

    async def _exchange_once(self, address: str) -> None:
        self._busy.add(address)
        try:
            await self._exchange(address)
        except peers.PeerUnreachable as error:
            _LOG.debug("%s", error)
            self._disconnect(address)
        finally:
            self._busy.discard(address)

    async def _exchange(self, address: str) -> None:
        context = self._context
        request = peers.make_request(
            context.members,
            context.known,
            context.now(),
            self._cursors.get(address, peers.Cursor()),
        )
        reply_result = await self._call(address, request)
        if reply_result.needs_followup:
            followup = peers.make_followup(
                context.members, context.known, reply_result, self._refused
            )
            reply_result = await self._call(address, followup)
        context.joining.record_peer_answer(
            reply_result.peer, reply_result.informed
        )
        context.update_informed()

    async def _call(
        self, address: str, request: peers.ExchangeRequest
    ) -> peers.ReplyResult:
        context = self._context
        sent_at = context.now()
        reply = await self._channel(address).exchange(request)
        reply_result = peers.apply_reply(
            context.members, context.known, reply, sent_at
        )
        self._cursors[address] = reply_result.cursor
        for error in reply_result.refused:
            self._refused.add(error.identity)
            _LOG.warning(
                "rejected document from peer %s: %s", reply_result.peer, error
            )
        return reply_result

    def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()


async def serve_peers(context: context_module.Context) -> None:
    """Answer exchange requests of other nodes until cancelled.

    :param context: state shared by the daemon's loops.
    """

    def answer(request: peers.ExchangeRequest) -> peers.ExchangeReply:
        return peers.answer_request(
            context.members, context.known, request, context.now()
        )

    listener = context.settings.peers
    await peers.serve_exchange(listener.host, listener.port, answer)
