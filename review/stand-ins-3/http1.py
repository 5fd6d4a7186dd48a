"""Small HTTP/1.1 server for the stand-ins: JSON bodies, kept connections."""
import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


class NoAnswer(Exception):
    """Raised by a handler: the connection ends without an answer."""


async def _serve(handle, headers_of, reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            method, target, _ = head[0].split(" ")
            headers = {k.strip().lower(): v.strip() for k, v in
                       (line.split(":", 1) for line in head[1:] if line)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            url = urlsplit(target)
            status, answer = await handle(method, url.path, dict(parse_qsl(url.query)),
                                          json.loads(body or b"{}"))
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s"
                         b"Content-Length: %d\r\n\r\n" %
                         (status, headers_of().encode(), len(text)) + text)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, NoAnswer):
        pass
    finally:
        writer.close()


async def serve(port, handle, headers_of=lambda: ""):
    """@headers_of: returns further header lines of an answer, each with its line end"""
    return await asyncio.start_server(lambda r, w: _serve(handle, headers_of, r, w), "127.0.0.1",
                                      port, limit=1 << 22)
