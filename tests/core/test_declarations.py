"""The replica of the declarations with late, duplicate and reordered copies."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chivehold.core.declaration_text import unified_diff
from chivehold.core.declarations import DeclarationReplica, DeclarationVersion
from tests.core.declared_examples import service

NAMES = st.sampled_from(["forja", "lector", "loandesk"])


class Store(RuleBasedStateMachine):
    """A store with one counter, one replica that sees it whole, and one that gets any old copy."""

    def __init__(self):
        super().__init__()
        self.history = []
        self.current = {}
        self.replica = DeclarationReplica()
        self.peer = DeclarationReplica()
        self.seen = {}

    @rule(name=NAMES, places=st.integers(1, 9))
    def write(self, name, places):
        former = self.current.get(name)
        version = len(self.history) + 1
        anew = former is None or former.spec is None
        uid = f"u{version}" if anew else former.uid
        self._record(DeclarationVersion(name, uid, version, service(name, port=9000 + places)))

    @precondition(lambda self: self._live())
    @rule(data=st.data())
    def delete(self, data):
        held = data.draw(st.sampled_from(self._live()))
        self._record(held._replace(version=len(self.history) + 1, spec=None))

    @precondition(lambda self: self.history)
    @rule(data=st.data())
    def take_old_copies(self, data):
        """Any former versions arrive, with a claim of completeness that does not hold here."""
        copies = data.draw(st.lists(st.sampled_from(self.history), max_size=4))
        self.replica.merge(copies, self.replica.revision + 1, len(self.history))

    @rule()
    def take_changes_of_peer(self):
        after = self.replica.revision
        self.replica.merge(self.peer.changed_after(after), after, self.peer.revision)

    @rule()
    def peer_lists_store(self):
        self.peer.merge_list(self._live(), len(self.history))

    @rule()
    def peer_watches_store(self):
        newer = [held for held in self.current.values() if held.version > self.peer.revision]
        self.peer.merge(newer, self.peer.revision, len(self.history))

    @invariant()
    def never_back(self):
        for name in self.seen.keys() | self.current.keys():
            held = self.replica.get(name)
            if held is not None:
                assert held.version >= self.seen.get(name, 0)
                self.seen[name] = held.version

    @invariant()
    def nothing_missing(self):
        """What the store had at the replica's revision is held, or something newer."""
        for replica in (self.replica, self.peer):
            for held in self.current.values():
                if held.version <= replica.revision:
                    mine = replica.get(held.name)
                    live = (mine.uid, mine.spec) if mine and mine.spec else None
                    assert live == ((held.uid, held.spec) if held.spec else None)

    def _live(self):
        return [held for held in self.current.values() if held.spec is not None]

    def _record(self, held):
        self.history.append(held)
        self.current[held.name] = held


TestStore = Store.TestCase
TestStore.settings = settings(derandomize=True, max_examples=150, stateful_step_count=25)


class TestDeclarationReplica:
    @settings(derandomize=True)
    @given(st.permutations(range(1, 7)))
    def test_same_in_any_order(self, order):
        """Replicas that merged the same versions in different orders are equal."""
        copies = [DeclarationVersion("forja", f"u{n // 3}", n, service()) for n in range(1, 7)]
        replica, other = DeclarationReplica(), DeclarationReplica()
        other.merge(copies, 0, 6)
        changed = [replica.merge([copies[n - 1]], n, n) for n in order]
        assert (replica.digest, replica.get("forja")) == (other.digest, copies[-1])
        assert changed == [n > max(order[:i], default=0) for i, n in enumerate(order)]
        assert (replica.revision, other.revision) == (0, 6)


class TestUnifiedDiff:
    def test_names_fields(self):
        """A diff shows the name of the changed field."""
        lines = unified_diff(service(), service(default_class="hook"), "forja")
        assert [line for line in lines if line[0] in "+-"][2:] == [
            '-  "default_class": ""',
            '+  "default_class": "hook"',
        ]


def version(name, number, spec=None):
    return DeclarationVersion(name, f"u-{name}", number, spec)


class TestDeletionsUnknownToPeer:
    """A peer that learned of the store by a list has no tombstones of what it never held."""

    def peer(self):
        """The store deleted ``forja`` before the peer's list at 7, then wrote ``loandesk``."""
        peer = DeclarationReplica()
        peer.merge_list([version("lector", 2, service())], 7)
        peer.merge([version("loandesk", 8, service())], peer.revision, 8)
        return peer

    def test_held_before(self):
        """A replica that holds the deleted object gets the whole state and drops the object."""
        replica = DeclarationReplica()
        replica.merge([version("lector", 2, service()), version("forja", 4, service())], 0, 5)
        lacking = self.peer().changes_for(replica.revision)
        assert lacking.after_revision == 0
        replica.merge(lacking.changes, lacking.after_revision, lacking.revision)
        assert replica.get("forja").spec is None
        assert (replica.revision, replica.digest) == (8, self.peer().digest)

    def test_old_copy_before_changes(self):
        """An old copy that arrives before the peer's changes is dropped with them."""
        replica = DeclarationReplica()
        replica.merge([version("forja", 4, service())], 3, 5)
        assert replica.revision == 0
        lacking = self.peer().changes_for(0)
        replica.merge(lacking.changes, lacking.after_revision, lacking.revision)
        assert replica.digest == self.peer().digest

    def test_old_copy_after_changes(self):
        """An old copy that arrives after the peer's changes is ignored."""
        replica = DeclarationReplica()
        lacking = self.peer().changes_for(0)
        replica.merge(lacking.changes, lacking.after_revision, lacking.revision)
        replica.merge([version("forja", 4, service())], 3, 5)
        assert replica.digest == self.peer().digest

    def test_unreadable_object(self):
        """A peer that could not read an object does not make others take it for deleted."""
        replica = DeclarationReplica()
        replica.merge([version("forja", 4, service())], 0, 5)
        peer = self.peer()
        peer.record_unreadable()
        lacking = peer.changes_for(replica.revision)
        assert [change.name for change in lacking.changes] == ["loandesk"]
        replica.merge(lacking.changes, lacking.after_revision, lacking.revision)
        assert replica.get("forja").spec is not None

    def test_changes_alone_where_deletions_are_known(self):
        """A replica that is only a few changes behind does not get the whole state."""
        lacking = self.peer().changes_for(7)
        assert (lacking.after_revision, [change.name for change in lacking.changes]) == (
            7,
            ["loandesk"],
        )
