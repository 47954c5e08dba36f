"""Delivery: the parts of one answer, whole, in order and in time.

Explanation
===========

The parts of a stream carry offsets. They may come late, twice or out of
order, and over several connections, as a stream is resumed after its
connection broke or went silent. :class:`PartReassembler` lets each part through
once, in order, and knows when the answer is whole.

:func:`stall_timeout_s` says how long a connection may make no progress. Before
the first part an engine may queue or prefill for long, and later it may put a
request aside for one of higher priority. So the bound only decides when to
ask on a new connection whether the engine still holds the stream, and it
doubles with each time that the engine said so. Between parts it follows the
interval that the stream itself has shown, which is the idea of an adaptive
failure detector [1]_.

:func:`coalescing_delay_s` lets a busy node read and write several parts at a time. A
stream that makes a part each few milliseconds is read once per pause; the
pause grows with the number of streams, so that the number of wake-ups per
second stays near a bound, and it never spans more than the gap between
tokens that callers were promised. The first part never waits. This is
interrupt coalescing as network cards do it [2]_.

Examples
========

>>> from wasabilanding import delivery
>>> order = delivery.PartReassembler()
>>> order.accept(1, b"b"), order.accept(0, b"a"), order.accept(0, b"a")
([], [b'a', b'b'], [])

See Also
========

wasabilanding.endpoints : reads the parts.
wasabilanding.retries : what follows a stream that did not complete.

References
==========

.. [1] N. Hayashibara, X. Defago, R. Yared, T. Katayama, The phi accrual
   failure detector, SRDS 2004.
.. [2] J. Mogul, K. Ramakrishnan, Eliminating receive livelock in an
   interrupt-driven kernel, ACM TOCS 15(3), 1997.
"""

from wasabilanding.delivery.coalescing import coalescing_delay_s
from wasabilanding.delivery.coalescing import MAX_GAP_S
from wasabilanding.delivery.reassembly import PartReassembler
from wasabilanding.delivery.stall_timeout import stall_timeout_s

__all__ = [
    "MAX_GAP_S",
    "PartReassembler",
    "coalescing_delay_s",
    "stall_timeout_s",
]
