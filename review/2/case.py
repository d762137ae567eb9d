"""A model engine hands out wrong bytes in answers to the system's own calls."""

import asyncio
import os
import sys
from random import Random

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins import (
    BOUNDS,
    Engine,
    Entry,
    KeptClient,
    Service,
    Store,
    configuration,
    lost_on_kept_connections,
    now,
    plain_route,
    run_case,
    send,
    stream_headers,
    stream_route,
)

SPOILT_SHARE = 0.05
"""Share of the answers of one of the three engines that are spoilt."""
WRONG_BYTES = b"\xc3\xa9"
LENGTH_S = 85.0
STREAMS_PER_S = 4.0
MAX_LOST = 3


class SpoilingEngine(Engine):
    """An engine that overwrites two neighbouring bytes in some of its JSON answers."""

    def __init__(self, *args, share=0.0, **kwargs):
        super().__init__(*args, **kwargs)
        self._rng = Random()
        self._share = share

    async def respond(self, writer, status, body=b"", headers=()):
        if status == 200 and body.startswith(b"{") and self._rng.random() < self._share:
            at = self._rng.randrange(1, len(body) - 2)
            body = body[:at] + WRONG_BYTES + body[at + 2 :]
            self.record.write(f"{self.name} hands out wrong bytes: {body!r}")
        await super().respond(writer, status, body, headers)


async def main(record, directory, entries, trouble):
    store = Store(record)
    await store.start()
    share = SPOILT_SHARE if trouble else 0.0
    engines = [
        SpoilingEngine(record, "p-1", "prefill", share=share),
        SpoilingEngine(record, "d-1", "decode"),
        SpoilingEngine(record, "d-2", "decode"),
    ]
    services = [Service(record, "a-1"), Service(record, "a-2")]
    for engine in engines:
        engine.events, engine.event_s = 10, 0.1
        engine.on_stage = lambda engine=engine: store.put("servers", engine.name, engine.listing())
    for server in (*engines, *services):
        await server.start()
        store.put("servers", server.name, server.listing())
    store.put("config", "main", configuration([stream_route("/audit/"), plain_route()]))
    for number in (1, 2):
        entries.append(Entry(directory, f"front-{number}", "zone-a", store.address, BOUNDS))
    for entry in entries:
        entry.record = record
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    tasks = [asyncio.ensure_future(entry.keep_running()) for entry in entries]
    until = now() + LENGTH_S
    answers = []
    for entry in entries:
        for _ in range(8):
            client = KeptClient(record, entry, answers)
            tasks.append(asyncio.ensure_future(client.run("/hook/x", 0.1, until)))

    async def stream(number):
        entry = entries[number % len(entries)]
        headers = stream_headers(number)
        await send(record, entry.address, f"s{number}", "/audit/x", headers=headers, wait_s=14.0)

    number = 0
    while now() < until:
        number += 1
        tasks.append(asyncio.ensure_future(stream(number)))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for entry in entries:
        record.write(f"{entry.name}: ends by itself {entry.ends}; last error {entry.last_error()!r}")
    lost = lost_on_kept_connections(answers, services)
    record.write(f"{len(answers)} requests on kept connections, {len(lost)} lost")
    if len(lost) > MAX_LOST:
        ends = sum(len(entry.ends) for entry in entries)
        yield_line = (
            f"LOST: {len(lost)} requests of kept connections reached a sound server and their "
            f"connection was closed without an answer; processes ended by themselves {ends} times "
            f"({entries[0].last_error() or entries[1].last_error()})"
        )
        return [yield_line]
    return []


run_case("2", main)
