"""A bare hop: hypercorn passes a request on with httpcore, and its answer back as it arrives.

Run as a program: ``python -m examples.bench.bare --upstream host:port``; without an upstream it
answers itself, a call at once and ``/stream/<chunks>`` chunk by chunk.
"""

import argparse

import httpcore
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

CHUNK = b'data: {"text":" token"}\n\n'
CHUNK_PAUSE_S = 0.002
POOL_LIMITS = {"max_connections": 512, "max_keepalive_connections": 32}


class _Origin:
    """Answers requests without a back end."""

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            raise NotImplementedError(scope["type"])
        while (await receive()).get("more_body"):
            pass
        await send({"type": "http.response.start", "status": 200, "headers": []})
        if scope["path"].startswith("/stream/"):
            await self._stream(int(scope["path"].rpartition("/")[2]), send)
        await send({"type": "http.response.body", "body": b"{}"})

    async def _stream(self, chunks: int, send) -> None:
        for _ in range(chunks):
            await trio.sleep(CHUNK_PAUSE_S)
            await send({"type": "http.response.body", "body": CHUNK, "more_body": True})


class _Hop:
    """Forwards every request to an upstream and streams its answer back."""

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._pool = httpcore.AsyncConnectionPool(**POOL_LIMITS)

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            raise NotImplementedError(scope["type"])
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        url = f"http://{self._upstream}{scope['path']}"
        async with self._pool.stream(scope["method"], url, content=body) as response:
            start = {"type": "http.response.start", "status": response.status, "headers": []}
            await send(start)
            async for chunk in response.aiter_stream():
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


async def _run(upstream: str | None) -> None:
    config = Config()
    config.bind, config.loglevel = ["127.0.0.1:0"], "ERROR"
    sockets = config.create_sockets()
    config.create_sockets = lambda: sockets
    sockets.insecure_sockets[0].listen(config.backlog)
    port = sockets.insecure_sockets[0].getsockname()[1]
    print(f"listening 127.0.0.1:{port}", flush=True)
    await serve(_Hop(upstream) if upstream else _Origin(), config)


def main() -> None:
    """Run the hop or the origin."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstream")
    trio.run(_run, parser.parse_args().upstream)


if __name__ == "__main__":
    main()
