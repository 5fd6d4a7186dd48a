"""Stand-in of plain servers (PROTOCOL.md, "Servers"): each request takes a few ms."""
import asyncio


class Server:
    def __init__(self, name, port, record):
        self.name, self.port, self.record = name, port, record
        self.runs = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                headers = {k.strip().lower(): v.strip() for k, v in
                           (line.split(":", 1) for line in head[1:] if line)}
                await reader.readexactly(int(headers.get("content-length", 0)))
                attempt = headers.get("skylarkhead-attempt-id", "")
                if headers.get("skylarkhead-expect-instance", self.name) != self.name:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                                 f"Skylarkhead-Instance-Id: {self.name}\r\n\r\n".encode())
                    continue
                self.runs += 1
                self.record(f"server {self.name} runs {attempt} {head[0]}")
                await asyncio.sleep(0.005)
                body = f"{attempt} by {self.name}\n".encode()
                writer.write((f"HTTP/1.1 200 OK\r\nSkylarkhead-Attempt-Id: {attempt}\r\n"
                              f"Skylarkhead-Response-Signature: {self.name}.{self.runs}\r\n"
                              "Skylarkhead-Server-Load: 1,0,6\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def run(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)
