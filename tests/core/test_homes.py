from collections import Counter

from chivehold.core.homes import key_home
from chivehold.core.identity import KeyId, Organisation, TargetName, UpstreamName

NAMES = [UpstreamName(f"lector-d{number}") for number in range(5)]
KEYS = [KeyId(Organisation("o"), TargetName("lector"), f"k{number}") for number in range(2_000)]


class TestKeyHome:
    def test_is_the_same_for_every_entry(self) -> None:
        """The home depends only on names, not on their order or the process."""
        assert [key_home(key, NAMES) for key in KEYS] == [
            key_home(key, NAMES[::-1]) for key in KEYS
        ]
        assert key_home(KEYS[0], NAMES) == "lector-d3"

    def test_only_keys_of_a_removed_upstream_move(self) -> None:
        """Removing one of five upstreams moves only its keys, which are about a fifth."""
        before = {key: key_home(key, NAMES) for key in KEYS}
        moved = {key for key in KEYS if key_home(key, NAMES[1:]) != before[key]}
        assert moved == {key for key in KEYS if before[key] == NAMES[0]}
        assert all(300 < count < 500 for count in Counter(before.values()).values())

    def test_no_upstreams(self) -> None:
        """Without upstreams there is no home."""
        assert key_home(KEYS[0], []) is None
