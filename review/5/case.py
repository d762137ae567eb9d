"""A model engine hands out a wrong byte in the id of one event of a stream."""

import asyncio
import os
import sys
from random import Random

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins import (
    BOUNDS,
    Engine,
    Entry,
    Store,
    configuration,
    now,
    run_case,
    send,
    stream_headers,
    stream_route,
)

SPOILT_SHARE = 0.05
"""Share of the streams of one of the two decode engines in which one byte is wrong."""
LENGTH_S = 60.0
STREAMS_PER_S = 5.0
DIGITS = "0123456789"


class SpoilingEngine(Engine):
    """An engine that sends one wrong digit in some of its streams; it notes what it has sent."""

    def __init__(self, *args, share=0.0, **kwargs):
        super().__init__(*args, **kwargs)
        self._rng = Random()
        self._share = share
        self.sent = {}
        """The bytes of each stream, by request id."""
        self.spoilt = []

    async def stream(self, writer, echo, last):
        request = echo[0][1]
        spoilt_event = None
        if self._rng.random() < self._share:
            spoilt_event = self._rng.randrange(1, self.events + 1)
            self.spoilt.append(request)
        self.sent[request] = b""
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Chivehold-Server-Stamp: s.{self.name}",
            *(f"{name}: {value}" for name, value in echo),
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event_id = str(number)
            if number == spoilt_event:
                at = self._rng.randrange(len(event_id))
                wrong = self._rng.choice(DIGITS.replace(event_id[at], ""))
                event_id = event_id[:at] + wrong + event_id[at + 1 :]
                self.record.write(f"{self.name}: {request}: event {number} has the id {event_id}")
            event = f"id: {event_id}\ndata: {request} piece {number}\n\n".encode()
            self.sent[request] += event
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main(record, directory, entries, trouble):
    store = Store(record)
    await store.start()
    engines = [
        Engine(record, "p-1", "prefill"),
        SpoilingEngine(record, "d-1", "decode", share=SPOILT_SHARE if trouble else 0.0),
        SpoilingEngine(record, "d-2", "decode"),
    ]
    for engine in engines:
        engine.events, engine.event_s = 20, 0.05
        engine.on_stage = lambda engine=engine: store.put("servers", engine.name, engine.listing())
        await engine.start()
        store.put("servers", engine.name, engine.listing())
    store.put("config", "main", configuration([stream_route("/audit/")]))
    for number in (1, 2):
        entries.append(Entry(directory, f"front-{number}", "zone-a", store.address, BOUNDS))
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    tasks, answers, until = [], [], now() + LENGTH_S

    async def stream(number):
        entry = entries[number % len(entries)]
        headers = stream_headers(number, 1000, 100)
        answers.append(
            await send(record, entry.address, f"s{number}", "/audit/x", headers=headers, wait_s=14.0)
        )

    number = 0
    while now() < until:
        number += 1
        tasks.append(asyncio.ensure_future(stream(number)))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.sleep(3.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    broken, sent = [], {}
    for engine in engines[1:]:
        sent.update(engine.sent)
    for answer in answers:
        if answer.status != 200 or not answer.complete or answer.body == sent[answer.request]:
            continue
        got, had = (body.count(b"\n\n") for body in (answer.body, sent[answer.request]))
        broken.append(
            f"MIXED: {answer.request}: the engine sent {had} events, the client got {got} of them in "
            f"an answer with status 200 and {answer.headers.get('x-chivehold-server-stamp')!r} that "
            "ended as complete"
        )
    record.write(f"{len(answers)} streams, {len(engines[1].spoilt)} with a wrong digit")
    return broken


run_case("5", main)
