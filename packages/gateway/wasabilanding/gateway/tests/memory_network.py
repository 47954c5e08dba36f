"""Network that delivers datagrams in memory, for tests."""

import collections
import random

import trio


class Network:
    """Network that delivers datagrams in memory."""

    def __init__(self):
        self._queues = {}
        self.sent = 0
        self.largest_bytes = 0
        self.delay_s = 0.0
        # Share of the datagrams that are lost.
        self.loss = 0.0
        # Times in seconds from which on an address neither sends nor receives.
        self.dead_from = {}
        self._rng = random.Random(1)
        # Returns whether the link from one address to another is cut.
        self.is_cut = lambda sender, address: False
        # Datagrams still to lose, by sender and receiver.
        self.to_lose = collections.Counter()

    def socket(self, address):
        """Return the socket of an address."""
        self._queues[address] = trio.open_memory_channel(1000)
        return Socket(self, address)

    def send(self, data, sender, address):
        """Deliver a datagram if a socket has the address."""
        self.sent += 1
        self.largest_bytes = max(self.largest_bytes, len(data))
        if self.to_lose[sender, address]:
            self.to_lose[sender, address] -= 1
        elif self._rng.random() < self.loss or self._is_dead(sender, address):
            return
        elif self.is_cut(sender, address):
            return
        elif address in self._queues:
            trio.lowlevel.spawn_system_task(
                self._deliver, (data, sender), address
            )

    def _is_dead(self, *addresses):
        now = trio.current_time()
        return any(
            now >= self.dead_from.get(address, now + 1)
            for address in addresses
        )

    async def _deliver(self, datagram, address):
        await trio.sleep(self.delay_s)
        self._queues[address][0].send_nowait(datagram)

    async def receive(self, address):
        """Receive a datagram."""
        return await self._queues[address][1].receive()


class Socket:
    """One socket of the network."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    async def sendto(self, data, address):
        """Send a datagram."""
        self._network.send(data, self._address, address)
        return len(data)

    async def recvfrom(self, max_bytes):
        """Receive a datagram."""
        return await self._network.receive(self._address)
