"""Prompts that their decode engine prefills because that is sooner done."""

from chivehold.core.direct.local_prefill import HANDOVER_S, MIN_SAMPLES, TOLERANCE, LocalPrefills

TOKENS = 3_000
LOCAL_S = 0.17


def local_prefills(samples: int = MIN_SAMPLES) -> LocalPrefills:
    """Return the times of decode engines that prefill ``TOKENS`` in ``LOCAL_S``."""
    local = LocalPrefills()
    for _ in range(samples):
        local.record(TOKENS, LOCAL_S)
    return local


class TestChoice:
    def test_queue_at_slow_prefill_engines(self) -> None:
        """With slow prefill engines at the top of a demand wave, prompts are not queued there."""
        assert local_prefills().is_sooner(TOKENS, separate_s=0.4)

    def test_idle_prefill_engine(self) -> None:
        """An idle prefill engine is used although it is a little slower than the decode engine.

        Otherwise prefill engines would be left idle while decode engines delay their streams.
        """
        assert not local_prefills().is_sooner(TOKENS, separate_s=TOLERANCE * LOCAL_S)
        assert local_prefills().is_sooner(TOKENS, TOLERANCE * LOCAL_S + HANDOVER_S + 0.01)

    def test_longer_prompt(self) -> None:
        """The expected time of a local prefill grows with the prompt."""
        assert not local_prefills().is_sooner(2 * TOKENS, separate_s=0.4)

    def test_unknown_time(self) -> None:
        """Without samples, as with engines that are equally fast, the choice is not changed."""
        assert not local_prefills(MIN_SAMPLES - 1).is_sooner(TOKENS, separate_s=5.0)

    def test_one_slow_sample(self) -> None:
        """A single slow sample, from a temporary slowdown, does not change the choice."""
        local = local_prefills()
        local.record(TOKENS, 10 * LOCAL_S)
        assert local.is_sooner(TOKENS, separate_s=0.4)


class TestUsefulWait:
    def test_until_a_local_prefill_would_be_late(self) -> None:
        """A prefill is not given up after a local one could no longer be on time.

        It would have been wasted, and the caller would wait for both.
        """
        assert local_prefills().useful_wait_s(TOKENS, left_s=0.8) == 0.8 - LOCAL_S

    def test_too_late_already(self) -> None:
        """There is no reason to wait longer than usual for a caller that is served late anyway."""
        assert local_prefills().useful_wait_s(TOKENS, left_s=0.1) == 0.0

    def test_unknown_time(self) -> None:
        """Without samples the usual timeout applies."""
        assert LocalPrefills().useful_wait_s(TOKENS, left_s=0.8) == 0.0
