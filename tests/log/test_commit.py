"""Only entries of the leader's own term are committed by counting replicas."""

from random import Random

from kingcuplug_common import Metrics
from kingcuplug_log import LogSettings, Member, Storage
from kingcuplug_log._group_membership import members_entry_data
from kingcuplug_log._leadership import Leadership
from kingcuplug_log._progress import Progress
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._types import Entry, EntryKind
from kingcuplug_testkit import FakeDisk, FakeNetwork, run_virtual

_MEMBERS = [Member(name, name, name) for name in ("a", "b", "c")]


async def _make_elected_state() -> ReplicaState:
    """Return a replica that was just elected in term 3, with entries of term 1."""
    storage = Storage(FakeDisk(Random(0)).mount())
    await storage.open()
    members = Entry(1, 1, EntryKind.MEMBERS, members_entry_data("test", _MEMBERS))
    storage.stage([members, Entry(2, 1, EntryKind.COMMAND, {})])
    storage.set_term_and_vote(3, "a")
    await storage.flush()
    transport = FakeNetwork(Random(0)).make_transport("a")
    settings = LogSettings()
    state = ReplicaState(
        _MEMBERS[0], storage, transport, settings, lambda: 0.0, Random(0), Metrics()
    )
    state.group.restore(None, storage.entries(1))
    return state


def test_older_term_is_not_committed_by_counting() -> None:
    # Guards against committing an entry that a later leader can still replace
    # with an entry of a newer term.
    async def main() -> None:
        state = await _make_elected_state()
        leadership = Leadership(state, lambda: None)
        progress = Progress(state, _MEMBERS[1], leadership.term)
        leadership._progress["b"] = progress
        progress.match_index = 2
        leadership._advance_commit_index()
        assert state.commit_index == 0
        progress.match_index = leadership.append(EntryKind.NOOP, None)
        await state.storage.flush()
        leadership._advance_commit_index()
        assert state.commit_index == 3

    run_virtual(main())
