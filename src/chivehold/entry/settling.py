"""The event that settles a command which could not be carried out."""

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
    """Return the event for a command that failed in the entry itself, when it asks for one.

    Nothing is claimed that is not known: what may have been sent counts as sent.
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
