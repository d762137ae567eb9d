"""Polls the platform's list of leaving VMs, which lags behind their actual state."""

from collections.abc import Callable
from random import Random

import trio
from returns.result import Success

from chivehold.core.identity import UpstreamName
from chivehold.store.client import HttpObjectStore

POLL_S = 10.0


async def poll_leaving_vms(
    store: HttpObjectStore, on_list: Callable[[tuple[UpstreamName, ...]], None], rng: Random
) -> None:
    """Poll the list until cancelled and pass on the leaving VMs.

    Args:
        store: The platform.
        on_list: Called with each list that was read.
        rng: Adds jitter to the polling interval, so that the polls of many entries spread out.
    """
    while True:
        listed = await store.list_vms()
        if isinstance(listed, Success):
            on_list(tuple(map(UpstreamName, listed.unwrap().leaving)))
        await trio.sleep(POLL_S * rng.uniform(0.75, 1.0))
