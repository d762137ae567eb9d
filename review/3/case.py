"""SIGTERM of an entry while requests wait there for room at full engines."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins import (
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

BOUNDS = {
    "drainMs": 3000,
    "contactMs": 4000,
    "graceS": 8,
    "configApplyMs": 3000,
    "retryBudgetRatio": 0.2,
    "retryBudgetExtra": 88,
    "budgetWindowS": 10,
}
LOSS_SLACK_S = 0.2
GRACE_S = 8.0
TIMEOUT_S = 14.0
URGENT_PER_S = 5.0
"""Requests of the urgent route; the engines can serve about 1.7 streams a second."""
PATIENT = 10
"""Clients of the patient route that come at once, and come again when told to."""
SIGTERM_AT_S = 15.0


CONFIGURATION = configuration(
    [
        stream_route("/assay/", 0, 812, resumable=True),
        stream_route("/report/", 1, 1012),
        stream_route("/backfill/", 2, 2012, resumable=True),
    ]
)


class Clients:
    """Clients in one zone; new connections go to the entries in rotation by turns."""

    def __init__(self, record, entries):
        self._record = record
        self.entries = entries
        self.in_rotation = list(entries)
        self.answers = []
        self._number = 0

    async def probe(self):
        """Take entries out of rotation after two misses, as the platform does each second."""
        misses = dict.fromkeys(self.entries, 0)
        while True:
            for entry in self.entries:
                misses[entry] = 0 if await entry.is_ready() else misses[entry] + 1
            rotation = [entry for entry in self.entries if misses[entry] < 2]
            self.in_rotation = rotation if len(rotation) * 2 >= len(self.entries) else self.entries
            await asyncio.sleep(1.0)

    async def request(self, path, deadline_s, entry):
        self._number += 1
        name = f"{path.strip('/').split('/')[0]}-{self._number}"
        headers = stream_headers(self._number, deadline_s=deadline_s)
        answer = await send(
            self._record, entry.address, name, path, headers=headers, wait_s=deadline_s
        )
        answer.node = entry
        answer.deadline_s = deadline_s
        self.answers.append(answer)
        return answer

    async def call(self, path, first, second):
        """A client that retries once, at another entry, when a refusal tells it to come back."""
        started = now()
        answer = await self.request(path, TIMEOUT_S, first)
        left = TIMEOUT_S - (now() - started)
        if answer.status not in (429, 503) or "retry-after" not in answer.headers:
            return
        wait_s = min(float(answer.headers["retry-after"]), left / 3)
        await asyncio.sleep(wait_s)
        node = second if second in self.in_rotation else self.in_rotation[0]
        await self.request(path, left - wait_s, node)


async def main(record, directory, entries, trouble):
    store = Store(record)
    await store.start()
    engines = [Engine(record, name, stage) for name, stage in (
        ("p-1", "prefill"), ("d-1", "decode"), ("d-2", "decode"))]
    for engine in engines:
        await engine.start()
        engine.on_stage = lambda engine=engine: store.put("servers", engine.name, engine.listing())
        store.put("servers", engine.name, engine.listing())
    store.put("config", "main", CONFIGURATION)
    for number in (1, 2):
        entries.append(Entry(directory, f"front-{number}", "zone-a", store.address, BOUNDS))
    first, second = entries
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_ready()
    clients = Clients(record, entries)
    tasks = [asyncio.ensure_future(clients.probe())]
    begun = now()

    async def at(seconds):
        await asyncio.sleep(max(0.0, begun + seconds - now()))

    async def urgent():
        for number in range(int(26 * URGENT_PER_S)):
            await at(1.0 + number / URGENT_PER_S)
            rotation = clients.in_rotation
            node = rotation[number % len(rotation)]
            tasks.append(asyncio.ensure_future(clients.call("/assay/x", node, node)))

    async def patient():
        # A few single clients before, then several at once.
        for number in range(4):
            await at(2.0 + number)
            tasks.append(asyncio.ensure_future(clients.call("/backfill/x", first, second)))
        await at(SIGTERM_AT_S - 5.0)
        for _ in range(PATIENT):
            tasks.append(asyncio.ensure_future(clients.call("/backfill/x", second, first)))
            await asyncio.sleep(0.1)

    tasks += [asyncio.ensure_future(urgent()), asyncio.ensure_future(patient())]
    await at(SIGTERM_AT_S)
    terminated_at = now()
    if trouble:
        record.write("SIGTERM to front-1")
        first.signal(signal.SIGTERM)
    await at(SIGTERM_AT_S + GRACE_S)
    if trouble:
        first.signal(signal.SIGKILL)
    await at(SIGTERM_AT_S + GRACE_S + 6.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return list(judge(record, clients.answers, engines, first, terminated_at))


def judge(record, answers, engines, terminated, terminated_at):
    """Yield each request that breaks the rule LOST around the planned stop."""
    outcomes = {}
    for answer in answers:
        key = (answer.node.name, answer.request.split("-")[0], answer.status, answer.end or "whole")
        outcomes[key] = outcomes.get(key, 0) + 1
    for key, count in sorted(outcomes.items(), key=str):
        record.write(f"outcome {key}: {count}")
    for answer in answers:
        if answer.node is not terminated or answer.sent_at is None or answer.complete:
            continue
        took_s = answer.ended_at - answer.sent_at
        if not terminated_at <= answer.ended_at <= terminated_at + GRACE_S + 1.0:
            continue
        if took_s >= min(answer.deadline_s, TIMEOUT_S) - 0.05:
            continue
        arrived = [a for engine in engines for a in engine.arrivals if a[1] == answer.request]
        worked = [engine.runs[answer.request] for engine in engines if answer.request in engine.runs]
        last_sixth = terminated_at + GRACE_S * 5 / 6
        at_work = any(end is None or end >= last_sixth for _, end in worked)
        if at_work and answer.sent_at <= terminated_at + 3.0:
            continue
        if arrived or took_s > LOSS_SLACK_S:
            yield (
                f"LOST: {answer.request} was read whole {answer.sent_at - terminated_at:+.2f} s from "
                f"the SIGTERM; its connection ended {took_s:.2f} s later, "
                f"{answer.ended_at - terminated_at:.2f} s after the SIGTERM, without an answer "
                f"(reached an engine: {bool(arrived)}, deadline {answer.deadline_s:.1f} s)"
            )


run_case("3", main)
