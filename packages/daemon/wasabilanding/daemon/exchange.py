"""Exchanges knowledge with the other nodes."""

import contextlib
import logging

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import peers

_LOG = logging.getLogger(__name__)


class Exchanger:
    """Connections to the other nodes.

    :param context: what the loops share.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._channels: dict[str, peers.Channel] = {}

    def _addresses(self) -> set[str]:
        context = self._context
        own = context.settings.peers.address
        known = {node.address for node in context.members.others}
        return {*known, *context.settings.seeds} - {own}

    async def _exchange(self, address: str) -> None:
        context = self._context
        channel = self._channels.get(address)
        if channel is None:
            channel = context.connect_peer(address)
            self._channels[address] = channel
        sent_at = context.now()
        request = peers.make_request(context.members, context.known, sent_at)
        try:
            reply = await channel.exchange(request)
        except peers.PeerUnreachable as error:
            _LOG.debug("%s", error)
            self._channels.pop(address, None)
            channel.close()
            return
        peers.apply_reply(context.members, context.known, reply, sent_at)

    async def run(self) -> None:
        """Exchange with every other node until cancelled."""
        interval_s = self._context.settings.exchange_interval_s
        with contextlib.ExitStack() as stack:
            stack.callback(self._close)
            while True:
                async with trio.open_nursery() as nursery:
                    for address in sorted(self._addresses()):
                        nursery.start_soon(self._exchange, address)
                await trio.sleep(interval_s)

    def _close(self) -> None:
        for channel in self._channels.values():
            channel.close()


async def serve_peers(context: context_module.Context) -> None:
    """Answer the other nodes until cancelled.

    :param context: what the loops share.
    """

    def answer(request: object) -> object:
        return peers.answer_request(
            context.members, context.known, request, context.now()
        )

    listener = context.settings.peers
    await peers.serve_exchange(listener.host, listener.port, answer)
