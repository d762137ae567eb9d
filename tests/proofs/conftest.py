"""Starts one fleet for each test module of this folder."""

from functools import partial

import pytest
import trio

from tests.proofs.fleet import Fleet


@pytest.fixture(scope="module")
def fleet(tmp_path_factory, request):
    options = getattr(request.module, "ENGINE_OPTIONS", ())
    fleet = Fleet(tmp_path_factory.mktemp("fleet"), *options)
    try:
        trio.run(partial(fleet.start, **getattr(request.module, "ENTRY_SETTINGS", {})))
        yield fleet
    finally:
        fleet.end()
