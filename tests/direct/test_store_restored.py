"""An entry whose store is restored from a copy some seconds old, so that revisions go back."""

from pathlib import Path

import trio

from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import ROUTES, EntryHarness, route, running_entry, wait_until

DEADLINE_S = 2.0
"""Time within which a change must be in force."""
QUIET_S = 1.0
MAX_CALLS_WHILE_QUIET = 12
"""Two kinds of objects are watched; each may be listed anew and watched a few times."""
LOST_CHANGES = 30


async def lose_changes(harness: EntryHarness) -> None:
    """Make changes that the entry learns of, then restore a copy made before them."""
    copy = harness.store.copy()
    for version in range(2, 2 + LOST_CHANGES):
        harness.configure(version, ROUTES)
    last_revision = harness.store.revision
    await wait_until(lambda: harness.entry.dump()["configuration"] == 1 + LOST_CHANGES)
    # The entry's own writes of its lease go on raising the store's revision.
    await wait_until(lambda: harness.entry.dump()["upstreams_revision"] >= last_revision)
    harness.store.restore(copy)


class TestRestored:
    # Guards against changes that are not in force after the store has lost earlier ones.
    async def test_new_configuration_is_in_force_in_time(self, tmp_path: Path) -> None:
        """The first change after a restore counts, although its revision was given out before."""
        async with running_entry(tmp_path) as harness:
            upstream = PlainUpstream("u1")
            await harness.add_upstream(upstream, "plain")
            await lose_changes(harness)
            added = route("/added/", "idempotent", "plain")
            harness.configure(LOST_CHANGES + 5, [*ROUTES, added])
            await trio.sleep(DEADLINE_S)
            assert (await harness.call("/added/x")).status == 200

    # Guards against a configuration that comes back after a newer one was in force.
    async def test_older_configuration_never_comes_back(self, tmp_path: Path) -> None:
        """The copy's older configuration is not used, nor a later write of an older version."""
        async with running_entry(tmp_path) as harness:
            await lose_changes(harness)
            harness.configure(3, ROUTES)
            await trio.sleep(DEADLINE_S)
            assert harness.entry.dump()["configuration"] == 1 + LOST_CHANGES

    # Guards against requests to an upstream whose departure was written after a restore.
    async def test_upstream_that_leaves_is_not_used(self, tmp_path: Path) -> None:
        """A draining record written after a restore is in force in time."""
        async with running_entry(tmp_path) as harness:
            upstream = PlainUpstream("u1")
            address = await harness.add_upstream(upstream, "plain")
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            await lose_changes(harness)
            harness.list_upstream(upstream, "plain", address, {"state": "draining"})
            await trio.sleep(DEADLINE_S)
            assert (await harness.call("/get/x")).status == 503

    # Guards against a herd of lists and watches at a store that has just come back.
    async def test_few_calls_after_a_restore(self, tmp_path: Path) -> None:
        """Each kind is listed once, then watched as before."""
        async with running_entry(tmp_path) as harness:
            await lose_changes(harness)
            calls = harness.store.calls
            await trio.sleep(QUIET_S)
            assert harness.store.calls - calls <= MAX_CALLS_WHILE_QUIET
