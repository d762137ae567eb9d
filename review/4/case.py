"""Another writer's entry among the engines: a text that cannot be read."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins import (
    BOUNDS,
    Entry,
    KeptClient,
    RawJson,
    Service,
    Store,
    configuration,
    now,
    plain_route,
    run_case,
)

FOREIGN = RawJson(
    '{"service":"app","address":"127.0.0.1:9","zone":"caf\\ud83d","version":"v1","slots":6,'
    '"state":"ready","coldLeftMs":0,"seq":1}'
)
"""A zone cut in the middle of a character beyond the basic plane, as JSON writers escape it."""
FOREIGN_AT_S = 6.0
DRAINING_AT_S = 8.0
LEAVES_AFTER_S = 8.0
LENGTH_S = 20.0
DRAIN_S = BOUNDS["drainMs"] / 1000


async def main(record, directory, entries, trouble):
    store = Store(record)
    await store.start()
    services = [Service(record, f"a-{number}") for number in (1, 2, 3)]
    leaving = services[0]
    for service in services:
        await service.start()
        store.put("servers", service.name, service.listing())
    store.put("config", "main", configuration([plain_route()]))
    for number in (1, 2):
        entries.append(Entry(directory, f"front-{number}", "zone-a", store.address, BOUNDS))
    for entry in entries:
        entry.record = record
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    tasks = [asyncio.ensure_future(entry.keep_running()) for entry in entries]
    begun, answers = now(), []
    for entry in entries:
        for _ in range(8):
            client = KeptClient(record, entry, answers)
            tasks.append(asyncio.ensure_future(client.run("/hook/x", 0.1, begun + LENGTH_S)))
    await asyncio.sleep(FOREIGN_AT_S)
    if trouble:
        record.write("another writer writes servers/foreign")
        store.put("servers", "foreign", FOREIGN)
    await asyncio.sleep(DRAINING_AT_S - FOREIGN_AT_S)
    leaving.leaves = True
    store.put("servers", leaving.name, leaving.listing("draining"))
    acknowledged_at = now()
    record.write(f"the store accepts that {leaving.name} drains")
    await asyncio.sleep(LEAVES_AFTER_S)
    store.remove("servers", leaving.name)
    leaving.stop()
    record.write(f"{leaving.name} ends")
    await asyncio.sleep(LENGTH_S - DRAINING_AT_S - LEAVES_AFTER_S + 1.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    sent_at = {answer.request: answer.sent_at for answer in answers}
    late = [
        request
        for at, request in leaving.arrivals
        if at > acknowledged_at + DRAIN_S and (sent_at.get(request) or 0.0) > acknowledged_at + DRAIN_S
    ]
    cut = [
        answer
        for answer in answers
        if (answer.end or answer.status != 200) and answer.request in dict(
            (request, at) for at, request in leaving.arrivals
        )
    ]
    for entry in entries:
        record.write(f"{entry.name}: 'store lost' in its log: {'store lost' in entry.log_text}")
    record.write(f"{len(answers)} requests, {len(late)} late at {leaving.name}, {len(cut)} lost there")
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests sent later than {DRAIN_S} s after the store had accepted that "
        f"{leaving.name} drains reached it; {len(cut)} requests that ran there got no answer"
    ]


run_case("4", main)
