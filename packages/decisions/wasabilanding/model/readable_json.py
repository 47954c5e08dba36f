"""Makes the readable parts of a JSON document decodable.

Explanation
===========

Load pattern: many entries share one document, and one of them is nested very
deep, or has a number of thousands of digits, an unpaired surrogate or bytes
that are not UTF-8. The decoder rejects the whole document then, and with it
all other entries.
"""

import json
import re

# Below the limits of all decoders in use.
MAX_DEPTH = 100
MAX_NUMBER_BYTES = 300
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{}]|-?[0-9][0-9.eE+-]*', re.DOTALL)
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
_NULL = b"null"


def readable(text: bytes) -> bytes:
    """Return a document with null in place of what no decoder reads.

    :param text: JSON document; one with another mistake keeps it.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.readable(b'[1, ' + b"9" * 5000 + b', {"a": "b"}]')
    b'[1, null, {"a": "b"}]'
    """
    text = text.decode(errors="replace").encode()
    kept = []
    depth = 0
    position = 0
    for token in _TOKEN.finditer(text):
        if depth <= MAX_DEPTH:
            kept.append(text[position : token.start()])
        position = token.end()
        found = token.group()
        if found in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(_NULL)
        if depth <= MAX_DEPTH:
            kept.append(_readable_token(found))
        if found in b"]}":
            depth -= 1
    kept.append(text[position:])
    return b"".join(kept)


def _readable_token(token: bytes) -> bytes:
    if token.startswith(b'"'):
        return _without_unpaired_surrogates(token)
    return token if len(token) <= MAX_NUMBER_BYTES else _NULL


def _without_unpaired_surrogates(token: bytes) -> bytes:
    if not _SURROGATE.search(token):
        return token
    try:
        value = json.loads(token)
    except ValueError:
        return token
    units = value.encode("utf-16", "surrogatepass")
    return json.dumps(units.decode("utf-16", "replace")).encode()
