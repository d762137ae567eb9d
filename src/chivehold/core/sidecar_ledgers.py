"""All that the core of a sidecar keeps: its ledgers, and when it started."""

from chivehold.core.attempts import AttemptLedger
from chivehold.core.availability import Availability
from chivehold.core.cancellations import Cancellations
from chivehold.core.keys import KeyRegistry
from chivehold.core.leases import EntryLeases
from chivehold.core.orders import OrderGate
from chivehold.core.place_admission import PlaceAdmission
from chivehold.core.policy import Policy
from chivehold.core.prefill_admission import PrefillAdmission
from chivehold.core.sidecar_messages import SidecarConfig


class SidecarLedgers:
    """What is known of one upstream; reports and dumps are made from it.

    Args:
        config: What the sidecar is told at its start.
        policy: Which decisions are in force.
    """

    def __init__(self, config: SidecarConfig, policy: Policy) -> None:
        self.config = config
        self.attempts = AttemptLedger()
        self.availability = Availability()
        self.cancellations = Cancellations()
        self.leases = EntryLeases(config.entry_lease_s)
        self.keys = KeyRegistry(config.key_retention_s)
        self.orders = OrderGate()
        shared = (self.attempts, self.availability, self.cancellations)
        self.places = PlaceAdmission(config, policy, *shared)
        self.prefills = PrefillAdmission(config, policy, *shared)
        self._started_at: float | None = None
        self._now = 0.0
        self._revision = 0
        self._prefix_blocks: tuple[int, ...] = ()

    @property
    def prefix_blocks(self) -> tuple[int, ...]:
        """Digests of blocks that the engine last said it caches, most recent first."""
        return self._prefix_blocks

    @property
    def revision(self) -> int:
        """The revision of the newest declarations kept beside this sidecar."""
        return self._revision

    def up_for_s(self, now: float) -> float:
        """Return the age of this run in seconds."""
        return 0.0 if self._started_at is None else now - self._started_at
