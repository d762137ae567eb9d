"""Follows the platform's declarations and its list of leaving VMs."""

import logging
from collections.abc import Callable
from random import Random

import trio
from returns.result import Success

from chivehold.core.declarations import DeclarationReplica
from chivehold.core.identity import UpstreamName
from chivehold.logs import log_event
from chivehold.platform.api import MAX_WATCH_WAIT_S
from chivehold.platform.backoff import waits
from chivehold.platform.client import HttpObjectStore
from chivehold.platform.declaration_objects import DECLARATION_KIND, held_declarations

VMS_POLL_S = 2.0

_log = logging.getLogger(__name__)


async def follow_platform(
    store: HttpObjectStore, replica: DeclarationReplica, changed: Callable[[], None], rng: Random
) -> None:
    """Keep a replica up to date by the platform's watch, through its outages.

    Args:
        store: The platform.
        replica: Takes what is newer.
        changed: Called after each successful read.
        rng: Draws the waiting times after failures.
    """
    pauses = waits(rng)
    while True:
        after = replica.revision
        found = await store.watch([DECLARATION_KIND], after, MAX_WATCH_WAIT_S)
        if isinstance(found, Success):
            snapshot = found.unwrap()
            held = list(held_declarations(snapshot.objects, replica))
            replica.merge(held, after, snapshot.revision)
            changed()
            pauses = waits(rng)
            continue
        failure = found.failure()
        log_event(_log, logging.INFO, "platform unavailable", step=failure.step, peer=failure.peer)
        await trio.sleep(next(pauses))


async def follow_leaving(
    store: HttpObjectStore, listed: Callable[[tuple[UpstreamName, ...]], None]
) -> None:
    """Read the platform's lagging list of VMs and pass on the leaving ones.

    Args:
        store: The platform.
        listed: Called with every list read.
    """
    while True:
        found = await store.list_vms()
        if isinstance(found, Success):
            listed(tuple(map(UpstreamName, found.unwrap().leaving)))
        await trio.sleep(VMS_POLL_S)
