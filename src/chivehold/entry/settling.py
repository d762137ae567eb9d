"""Settling events for commands that failed inside the entry."""

from chivehold.core.entry_messages import (
    AttemptLinkLost,
    ClaimDecision,
    ClaimSettled,
    CommitKey,
    EntryCommand,
    EntryEvent,
    ImportSettled,
    KeyCommitSettled,
    KeySettled,
    MakeClaim,
    PrefillSettled,
    RegisterKey,
    Revoke,
    RevokeSettled,
    SendCall,
    SendImport,
    SendOffer,
    SendPrefill,
)
from chivehold.core.identity import Outcome
from chivehold.core.wire import KeyDecision, PrefillKind, PrefillResult, Reason, RevokeResult


def failure_event(command: EntryCommand) -> EntryEvent | None:
    """Return the event that settles a failed command, or ``None`` if it needs none.

    The event claims nothing that is uncertain: what may have been sent counts as sent.
    """
    match command:
        case SendOffer(offer=offer) | SendCall(offer=offer):
            return AttemptLinkLost(offer.attempt, sent=True)
        case SendPrefill(order=order):
            result = PrefillResult(PrefillKind.FAILED, order.attempt, reason=Reason.ENGINE_FAILED)
            return PrefillSettled(result)
        case SendImport(order=import_order):
            return ImportSettled(import_order.attempt, accepted=False)
        case Revoke(attempt=attempt):
            return RevokeSettled(attempt, RevokeResult.UNREACHABLE)
        case RegisterKey(registration=registration):
            return KeySettled(registration.request, KeyDecision.UNREACHABLE)
        case CommitKey(commit=commit):
            return KeyCommitSettled(commit.request, None)
        case MakeClaim(request=request):
            return ClaimSettled(request, ClaimDecision(False, Outcome.NOT_RUN))
        case _:
            return None
