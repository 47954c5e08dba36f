"""Parts of a prompt, as a caller's request names them.

A request lists the parts of its prompt in order, as "ID:TOKENS" separated by
commas, the identity in hexadecimal. Others may share all but the last part.
"""

import re

# A part further on is not considered.
MAX_PARTS = 256
_PART = re.compile(r"([0-9A-Fa-f]+):[0-9]+")


def shared_parts(text: str) -> tuple[str, ...]:
    """Return the identities of the parts that other requests may share.

    :param text: the parts; none are returned if it is malformed.

    Examples
    ========

    >>> from wasabilanding.gateway import prompt_parts
    >>> prompt_parts.shared_parts("5C1e:800, 91bd:410,5c1e:3,e440:250")
    ('5c1e', '91bd')
    >>> prompt_parts.shared_parts("5c1e:800"), prompt_parts.shared_parts("x,")
    ((), ())
    """
    found = []
    for part in text.split(",", MAX_PARTS)[:MAX_PARTS]:
        match = _PART.fullmatch(part.strip())
        if match is None:
            return ()
        found.append(match.group(1).lower())
    return tuple(dict.fromkeys(found[:-1]))
