"""Polls engines for their prefix cache events."""

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import selection
from wasabilanding import routing

# One poll costs about 1.5 ms of CPU time.
POLLS_PER_S = 4.0


async def _poll_next_replica(
    context: context_module.Context,
    router: selection.Router,
    cursor: routing.CacheCursor,
) -> None:
    index = router.refresh()
    key = cursor.next_key(index.keys)
    located = index.get(key) if key else None
    if key is None or located is None:
        return
    vm = context.known.vm(located.replica.leader)
    if vm is None:
        return
    reply = await context.endpoints.cache_events(vm, cursor.after(key))
    identity = (located.replica.replica_id, located.replica.epoch)
    if reply is None or (reply.replica_id, reply.epoch) != identity:
        return
    cursor.note(key, reply.events)
    router.prefixes.apply(key, reply.events)


async def poll_cache_events(
    context: context_module.Context, router: selection.Router
) -> None:
    """Update the router's view of the engines' caches until cancelled.

    :param context: state shared by the daemon's loops.
    :param router: router that holds the view.
    """
    cursor = routing.CacheCursor()
    while True:
        await _poll_next_replica(context, router, cursor)
        await trio.sleep(1 / POLLS_PER_S)
