import pytest

from chivehold.core.entry_messages import (
    EntryCommand,
    FrameReceived,
    SendImport,
    SendOffer,
    SendPrefill,
)
from chivehold.core.identity import AttemptId, RequestId
from chivehold.core.wire import AttemptFrame, FrameKind, Reason
from tests.core.entry_driver import Driver, frame, model, prefilled

FIRST = AttemptId(RequestId("r"), 1)
SECOND = AttemptId(RequestId("r"), 2)


def fail_transfer(driver: Driver, at: float, reason: Reason) -> list[EntryCommand]:
    """Start the transfer of a request and let it fail at a given time."""
    driver.feed(model())
    driver.feed(frame(FrameKind.GRANTED, FIRST))
    driver.feed(prefilled(FIRST, expires_in_s=0.8))
    driver.now = at
    return driver.feed(FrameReceived(AttemptFrame(FrameKind.FAILED, FIRST, reason=reason)))


class TestStalledTransfer:
    def test_retries_elsewhere_with_the_same_prefill(self) -> None:
        """The next attempt imports the KV cache, which has not expired, at another engine."""
        driver = Driver()
        (offer,) = fail_transfer(driver, 0.3, Reason.TRANSFER_STALLED)
        assert isinstance(offer, SendOffer)
        assert offer.offer.attempt == SECOND
        (order,) = driver.feed(frame(FrameKind.GRANTED, SECOND))
        assert isinstance(order, SendImport)
        assert (order.upstream, order.order.handle) == (offer.upstream, "h")
        assert order.order.expires_in_s == pytest.approx(0.5)

    @pytest.mark.parametrize(
        ("at", "reason"), [(0.9, Reason.TRANSFER_STALLED), (0.3, Reason.ENGINE_FAILED)]
    )
    def test_reruns_the_prompt_if_the_kv_cache_is_gone(self, at: float, reason: Reason) -> None:
        """The prompt is prefilled again if its KV cache has expired or an engine has used it."""
        driver = Driver()
        fail_transfer(driver, at, reason)
        (order,) = driver.feed(frame(FrameKind.GRANTED, SECOND))
        assert isinstance(order, SendPrefill)
