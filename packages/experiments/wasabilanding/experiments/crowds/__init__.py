"""Crowds of clients that do not behave, before one process.

Explanation
===========

Each client keeps to the limits of the configuration and does what costs the
process most: it sends large bodies and stops before their end, sends heads of
many short lines, opens connections and sends nothing. :mod:`.clients` has one
function for each kind of client, :mod:`.gauge` samples the memory and the
descriptors of the process while the crowd is there.
"""
