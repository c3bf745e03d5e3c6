"""Refusals of a resent order while an earlier copy of it is in flight."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_ledger import Claimed
from kingcuplug_query import BackgroundTasks, OrderExecutor, OrderRequest
from kingcuplug_routing import CrashGuard, Priority
from kingcuplug_testkit import run_virtual


class LedgerStub:
    """Ledger that grants every claim and accepts every release."""

    def __init__(self) -> None:
        self.released: list[str] = []

    async def claim(self, key: str, *arguments: Any, **fields: Any) -> Claimed:
        """Grant the claim."""
        return Claimed("token-1")

    async def release(self, key: str, token: str, deadline: float) -> None:
        """Record the released token."""
        self.released.append(token)


class OverloadedAdmission:
    """Admission that refuses every request."""

    def admit(self, *arguments: Any) -> "OverloadedAdmission":
        """Return a context manager that refuses."""
        return self

    async def __aenter__(self) -> None:
        raise Refusal(RefusalKind.NOT_RUN, RefusalReason.OVERLOADED, "full", "wait")

    async def __aexit__(self, *error: object) -> None:
        raise AssertionError("never entered")


@pytest.mark.parametrize(
    ("resend", "kind"),
    [(False, RefusalKind.NOT_RUN), (True, RefusalKind.OUTCOME_UNKNOWN)],
)
def test_resend_with_released_claim_is_outcome_unknown(resend: bool, kind: RefusalKind):
    """Guards against ``not_run`` for a key that an earlier copy then runs.

    Admission refuses the resend, which then releases its claim. An earlier copy that
    waits for the claim gets it and runs.
    """
    ledger = LedgerStub()

    async def run() -> Refusal:
        background = BackgroundTasks()
        executor = OrderExecutor(
            ledger,
            None,
            CrashGuard(),
            None,
            background,
            "zone-1",
            lambda *_: False,
            None,
        )
        service = SimpleNamespace(depends_on=())
        runtime = SimpleNamespace(admission=OverloadedAdmission(), service=service)
        view = SimpleNamespace(number=1, find=lambda _: runtime)
        deadline = asyncio.get_running_loop().time() + 1.0
        order = OrderRequest(
            *("request-1", "stock", {}, Priority.NORMAL, deadline, "1-a", "p"), resend
        )
        with pytest.raises(Refusal) as caught:
            await executor.run(order, view, 90)
        await background.drain(1.0)
        return caught.value

    refusal = run_virtual(run())
    assert refusal.kind is kind
    assert refusal.reason is RefusalReason.OVERLOADED
    assert ledger.released == ["token-1"]
