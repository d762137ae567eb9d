"""Runs a daemon with one mechanism switched off: ``python -m tests.proofs.without NAME MODULE …``.

If ``CHIVEHOLD_WITHOUT=NAME`` is set in the environment, the proofs start all entries and sidecars
this way. The checker of the promise that depends on the mechanism must then find violations.
"""

import runpy
import sys
from collections.abc import Callable
from typing import Any

from chivehold.core import claims, keys, leases, relay, requests, sidecar
from chivehold.core.availability import Availability
from chivehold.core.declarations import DeclarationReplica
from chivehold.core.wire import KeyDecision, UpstreamState
from chivehold.entry.app import Entry
from chivehold.sidecar.app import Sidecar
from chivehold.store.declaration_sync import DeclarationSync

SHORT_DRAIN_S = 3.0


def _yield_nothing(*arguments: object) -> Any:
    return iter(())


def _key_register() -> None:
    keys.KeyRegistry.register = lambda *arguments: KeyDecision.FRESH


def _key_commit() -> None:
    keys.KeyRegistry.commit = lambda *arguments: True


def _entry_lease() -> None:
    leases.EntryLeases.expire = _yield_nothing


def _stream_close() -> None:
    sidecar.SidecarCore._on_closed = _yield_nothing


def _cancel_unowned() -> None:
    sidecar.SidecarCore._cancel_unowned = _yield_nothing


def _offsets() -> None:
    def add(self, offset: int, tokens: tuple[str, ...]):
        yield relay.TokenRun(self.relayed, tokens)
        self._relayed.extend(tokens)

    relay.AnswerRelay.add = add
    relay.AnswerRelay.relayed = property(lambda self: 0)
    relay.AnswerRelay.is_complete = lambda self, total: True


def _may_have_run() -> None:
    requests.Request.may_have_run = property(lambda self: False)


def _claims() -> None:
    granted = claims.ClaimResponse(granted=True)
    claims.resolve_claim = lambda *arguments: granted


def _leaving_state() -> None:
    Availability.state = property(lambda self: UpstreamState.READY)
    Availability.refusal = property(lambda self: None)


def _long_drain() -> None:
    """Limit the drain to 3 s, as hypercorn does by default."""
    for daemon in (Entry, Sidecar):
        start = daemon.__init__

        def init(self, settings, *arguments, start=start) -> None:
            start(self, settings._replace(drain_timeout_s=SHORT_DRAIN_S), *arguments)

        daemon.__init__ = init


def _versions() -> None:
    def store(self, change) -> bool:
        self._newest[change.name] = change
        return True

    def merge(self, changes, after_revision: int, revision: int) -> bool:
        for change in changes:
            store(self, change)
        self._revision = revision
        return True

    DeclarationReplica.merge = merge


def _push() -> None:
    DeclarationSync._peers_behind = lambda self: ()


MECHANISMS: dict[str, Callable[[], None]] = {
    "none": lambda: None,
    "key-register": _key_register,
    "key-commit": _key_commit,
    "entry-lease": _entry_lease,
    "stream-close": _stream_close,
    "cancel-uncovered": _cancel_unowned,
    "offsets": _offsets,
    "may-have-run": _may_have_run,
    "claims": _claims,
    "leaving": _leaving_state,
    "long-drain": _long_drain,
    "versions": _versions,
    "push": _push,
}


def main() -> None:
    """Switch the mechanism off, then run the module with the remaining arguments."""
    name, module, *arguments = sys.argv[1:]
    MECHANISMS[name]()
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
