"""Ordered, complete and timely delivery of the parts of an answer.

Explanation
===========

The parts of a stream have offsets. They may arrive late, repeatedly or out of
order, and over several connections, because a stream is resumed after its
connection broke or stalled. :class:`PartReassembler` passes each part on once,
in order, and tells when the answer is complete.

:func:`stall_timeout_s` returns how long a connection may make no progress.
Before the first part an engine may queue or prefill the request for a long
time, and later it may preempt it for one of higher priority. A timeout
therefore does not end the stream: the node asks on a new connection whether
the engine still has the stream, and each confirmation doubles the timeout.
Between parts the timeout is proportional to the stream's own interval, as in
an adaptive failure detector [1]_.

:func:`coalescing_delay_s` makes a busy node read and write several parts at a
time. A stream that produces a part every few milliseconds is read once per
delay. The delay grows with the number of streams, which limits the number of
wake-ups per second, and it never exceeds the maximum gap between tokens that
callers are guaranteed. The first part is never delayed. Network cards coalesce
interrupts in this way [2]_.

Examples
========

>>> from wasabilanding import delivery
>>> order = delivery.PartReassembler()
>>> order.accept(1, b"b"), order.accept(0, b"a"), order.accept(0, b"a")
([], [b'a', b'b'], [])

See Also
========

wasabilanding.endpoints : reads the parts.
wasabilanding.retries : decides what follows an incomplete stream.

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
