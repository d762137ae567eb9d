"""Another writer's entry among the engines: a field of another type, a list in lists."""

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
    lost_on_kept_connections,
    now,
    plain_route,
    run_case,
)

DEPTH = 1_500
FOREIGN = RawJson(
    '{"service":"app","address":"127.0.0.1:9","zone":' + "[" * DEPTH + "]" * DEPTH + ","
    '"version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1}'
)
"""3 KB; the store takes values of 1 MB."""
FOREIGN_AT_S = 8.0
REMOVED_AT_S = 30.0
LENGTH_S = 40.0
MAX_LOST = 3


async def main(record, directory, entries, trouble):
    store = Store(record)
    await store.start()
    services = [Service(record, f"a-{number}") for number in (1, 2, 3)]
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
    await asyncio.sleep(REMOVED_AT_S - FOREIGN_AT_S)
    if trouble:
        record.write("servers/foreign is removed")
        store.remove("servers", "foreign")
    await asyncio.sleep(LENGTH_S - REMOVED_AT_S + 1.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ends = 0
    for entry in entries:
        ends += len(entry.ends)
        record.write(f"{entry.name}: ends by itself {entry.ends}; last error {entry.last_error()!r}")
    lost = lost_on_kept_connections(answers, services)
    counts = {}
    for answer in answers:
        key = (int((answer.ended_at - begun) // 4) * 4, answer.status or answer.end)
        counts[key] = counts.get(key, 0) + 1
    for key, count in sorted(counts.items(), key=str):
        record.write(f"from second {key[0]}: {key[1]}: {count}")
    record.write(f"{len(answers)} requests, {len(lost)} lost, {ends} ends of processes")
    if len(lost) <= MAX_LOST:
        return []
    return [
        f"LOST: {len(lost)} requests of kept connections reached a sound server and their connection "
        f"was closed without an answer; processes ended by themselves {ends} times "
        f"({entries[0].last_error()})"
    ]


run_case("1", main)
