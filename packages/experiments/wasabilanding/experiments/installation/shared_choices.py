"""Prints what nodes must decide alike, without asking each other.

Run by Python with the sources of two commits, its outputs must be equal. It
imports only what is in both.
"""

from wasabilanding.gateway import peer_nodes
from wasabilanding.gateway import plain_wire
from wasabilanding import membership
from wasabilanding import poison

NAMES = tuple(f"node-{number}" for number in range(12))
SUBJECTS = tuple(f"subject-{number}" for number in range(40))


def _nodes() -> dict[str, peer_nodes.PeerNodes]:
    """Return what each node knows of the others."""
    found = {}
    for name in NAMES:
        found[name] = peer_nodes.PeerNodes(name, "z1", None, plain_wire)
        found[name].local = {
            other: ("10.0.0.1", 1) for other in NAMES if other != name
        }
    return found


def main() -> None:
    """Print each choice on a line."""
    nodes = _nodes()
    for name in NAMES:
        print("collector", nodes[name].collector(0.0))
    for subject in SUBJECTS:
        first = [n for n in NAMES if nodes[n].is_first_for(subject)]
        print("first", subject, first)
        print("owners", subject, membership.owners_of(subject, NAMES, 2))
        print("homes", subject, poison.home_names("menu", subject, NAMES))
        print("trials", subject, poison.trial_order(subject, NAMES))
        parts = (b"host", subject.encode())
        print("fingerprint", poison.exact_fingerprint(parts))


if __name__ == "__main__":
    main()
