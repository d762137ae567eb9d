"""Engines are replaced one after the other while the prefill engine leaves prompts unanswered."""

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

PROMPT, OUTPUT = 6_600, 816
HANG_SHARE = 0.45
"""Share of its requests that the one grey engine of six never answers."""
DECODE_ENGINES = 4
STREAMS_AT_ONCE = 8
CYCLE_S = 3.4
"""Time from one group of clients, and from one replaced engine, to the next."""
START_LEAD_S = 0.1
"""How long before an engine drains the one that replaces it is listed."""
CLIENTS_AFTER_S = 0.25
"""How long after that report the clients come."""
EXIT_AFTER_S = 2.6
"""Time from the report that an engine drains to its end; ``drainMs`` and a little longer."""
LENGTH_S = 95.0
DRAIN_S = BOUNDS["drainMs"] / 1000


class GreyEngine(Engine):
    """A prefill engine that leaves a part of its requests unanswered, as in ``srv_grey`` (hang)."""

    hang_share = 0.0
    rng = Random()

    async def prefill(self, writer, headers, request, echo):
        if self.rng.random() < self.hang_share:
            self.record.write(f"{self.name}: {request} arrives to prefill and hangs")
            await asyncio.sleep(3600)
        await super().prefill(writer, headers, request, echo)


class Fleet:
    def __init__(self, record, store):
        self._record = record
        self._store = store
        self._count = 0
        self.all = []
        self.ready = []
        self.draining_at = {}

    async def add(self):
        self._count += 1
        engine = Engine(self._record, f"d-{self._count}", "decode", capacity=42_786)
        engine.events, engine.event_s = 10, 0.1
        await engine.start()
        self._store.put("servers", engine.name, engine.listing())
        self.all.append(engine)
        self.ready.append(engine)

    async def replace(self):
        await self.add()
        await asyncio.sleep(START_LEAD_S)
        engine = self.ready.pop(0)
        self._store.put("servers", engine.name, engine.listing("draining"))
        self.draining_at[engine] = now()
        self._record.write(f"the store accepts that {engine.name} drains")
        await asyncio.sleep(EXIT_AFTER_S)
        self._store.remove("servers", engine.name)
        self._record.write(f"{engine.name} ends")
        engine.stop()


async def main(record, directory, entries, trouble):
    store = Store(record)
    await store.start()
    prefill = GreyEngine(record, "p-1", "prefill")
    prefill.hang_share = HANG_SHARE if trouble else 0.0
    await prefill.start()
    store.put("servers", prefill.name, prefill.listing())
    fleet = Fleet(record, store)
    for _ in range(DECODE_ENGINES):
        await fleet.add()
    store.put("config", "main", configuration([stream_route("/audit/")]))
    for number in (1, 2):
        entries.append(Entry(directory, f"front-{number}", "zone-a", store.address, BOUNDS))
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    begun, tasks, answers = now(), [], []

    async def stream(number):
        entry = entries[number % len(entries)]
        headers = stream_headers(number, PROMPT, OUTPUT)
        answers.append(
            await send(record, entry.address, f"s{number}", "/audit/x", headers=headers, wait_s=14.0)
        )

    number = 0
    while now() < begun + LENGTH_S:
        tasks.append(asyncio.ensure_future(fleet.replace()))
        await asyncio.sleep(START_LEAD_S + CLIENTS_AFTER_S)
        for _ in range(STREAMS_AT_ONCE):
            number += 1
            tasks.append(asyncio.ensure_future(stream(number)))
        await asyncio.sleep(CYCLE_S - START_LEAD_S - CLIENTS_AFTER_S)
    await asyncio.sleep(4.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    answer_of = {answer.request: answer for answer in answers}
    broken = []
    for engine, draining_at in fleet.draining_at.items():
        for at, request, purpose in engine.arrivals:
            if at > draining_at + DRAIN_S:
                answer = answer_of.get(request)
                end = "unknown" if answer is None else f"{answer.status} {answer.end or 'whole'}"
                broken.append(
                    f"DRAIN: {request} reached {engine.name} to {purpose} {at - draining_at:.2f} s "
                    f"after the store had accepted that it drains; its answer: {end}"
                )
    record.write(f"{len(fleet.draining_at)} engines replaced, {len(answers)} streams answered")
    return broken


run_case("5", main)
