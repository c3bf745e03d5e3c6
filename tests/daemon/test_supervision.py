"""Background tasks of kingcuplugd that fail unexpectedly."""

import asyncio
from types import SimpleNamespace

import pytest
from kingcuplug_daemon._control_node import ControlNode
from kingcuplug_daemon._entry_node import EntryNode
from kingcuplug_testkit import run_virtual

_NODES = [
    (EntryNode, ("session", "_router_updater", "_crash_verdicts")),
    (ControlNode, ("sessions", "mesh")),
]


@pytest.mark.parametrize(("node_type", "names"), _NODES)
def test_background_tasks_go_on_after_an_unexpected_error(node_type, names):
    """Guards against a host that runs on without its session or its servers."""
    starts = dict.fromkeys(names, 0)

    def make_task(name: str) -> SimpleNamespace:
        async def run() -> None:
            starts[name] += 1
            if starts[name] <= 3:
                raise RuntimeError("unexpected")
            await asyncio.Event().wait()

        return SimpleNamespace(run=run)

    async def main() -> None:
        node = object.__new__(node_type)
        for name in names:
            setattr(node, name, make_task(name))
        task = asyncio.ensure_future(node._run_exchanges())
        await asyncio.sleep(10.0)
        assert not task.done()
        task.cancel()

    run_virtual(main())
    assert starts == dict.fromkeys(names, 4)
