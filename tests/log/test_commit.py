"""Only an entry of the leader's own term may be committed by counting."""

from random import Random

from kingcuplug_common import Metrics
from kingcuplug_log import LogSettings, Member, Storage
from kingcuplug_log._core import Core
from kingcuplug_log._group import members_data
from kingcuplug_log._leadership import Leadership
from kingcuplug_log._progress import Progress
from kingcuplug_log._types import Entry, EntryKind
from kingcuplug_testkit import FakeDisk, FakeNetwork, run_virtual

_MEMBERS = [Member(name, name, name) for name in ("a", "b", "c")]


async def _core() -> Core:
    """Return a replica that has just won term 3 with entries of term 1."""
    storage = Storage(FakeDisk(Random(0)).mount())
    await storage.open()
    members = Entry(1, 1, EntryKind.MEMBERS, members_data("test", _MEMBERS))
    storage.stage([members, Entry(2, 1, EntryKind.COMMAND, {})])
    storage.set_vote(3, "a")
    await storage.flush()
    transport = FakeNetwork(Random(0)).transport("a")
    settings = LogSettings()
    core = Core(
        _MEMBERS[0], storage, transport, settings, lambda: 0.0, Random(0), Metrics()
    )
    core.group.rebuild(None, storage.entries(1))
    return core


def test_older_term_is_not_committed_by_counting() -> None:
    # Guards against a commit that a later leader with a newer entry takes back.
    async def main() -> None:
        core = await _core()
        leadership = Leadership(core, lambda: None)
        progress = Progress(core, _MEMBERS[1], leadership.term)
        leadership._progress["b"] = progress
        progress.match_index = 2
        leadership._advance()
        assert core.commit_index == 0
        progress.match_index = leadership.append(EntryKind.NOOP, None)
        await core.storage.flush()
        leadership._advance()
        assert core.commit_index == 3

    run_virtual(main())
