"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses
import json
import urllib.parse

MAX_HEAD_BYTES = 65536


@dataclasses.dataclass
class Message:
    """Head and body of a request or a response.

    :param start: words of the first line.
    :param headers: headers, names in lower case.
    :param body: the body; what arrived of it, if the message is not whole.
    :param is_whole: whether the body is complete.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start[1]

    @property
    def path(self) -> str:
        """Path of a request."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query of a request."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text))

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head; None if the connection has ended before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, is_response: bool
) -> None:
    """Read the body of a message into it."""
    parts = []
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                if not size:
                    await reader.readuntil(b"\r\n")
                    break
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            while size:
                part = await reader.read(size)
                if not part:
                    message.is_whole = False
                    break
                parts.append(part)
                size -= len(part)
        elif is_response:
            while part := await reader.read(65536):
                parts.append(part)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_whole = False
    message.body = b"".join(parts)


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message | None:
    """Return the next whole message; None if there is none."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, is_response)
    return message


def response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def json_response(status: int, document: object, **headers: str) -> bytes:
    """Return the bytes of a response with a JSON document."""
    fields = {"Content-Type": "application/json"}
    fields |= {name.replace("_", "-"): text for name, text in headers.items()}
    return response(status, fields, json.dumps(document).encode())
