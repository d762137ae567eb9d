"""Claims where there is no platform to keep them: none is granted."""

from chivehold.core.entry_messages import ClaimDecision, EndClaim, MakeClaim
from chivehold.core.identity import Outcome


class NoClaims:
    """Refuses every claim, so that nothing that needs one runs."""

    async def make(self, command: MakeClaim) -> ClaimDecision:
        """Refuse."""
        return ClaimDecision(False, Outcome.NOT_RUN)

    async def end(self, command: EndClaim) -> None:
        """Do nothing, since nothing was claimed."""
