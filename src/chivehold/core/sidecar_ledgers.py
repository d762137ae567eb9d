"""The state of a sidecar's core: its ledgers and its start time."""

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
    """The state of one upstream, from which load reports and dumps are built.

    Args:
        config: The sidecar's settings.
        policy: The scheduling rules that are enabled.
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
        """Digests of the blocks that the engine last reported as cached, most recent first."""
        return self._prefix_blocks

    @property
    def revision(self) -> int:
        """The revision of the newest declarations stored with this sidecar."""
        return self._revision

    def up_for_s(self, now: float) -> float:
        """Return how long this run has been up, in seconds."""
        return 0.0 if self._started_at is None else now - self._started_at
