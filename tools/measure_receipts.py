"""Measure the CPU time to sign a receipt, one line per number of receipts."""

import time

from kingcuplug_common import Receipt, Signer

_RECEIPT_COUNTS = (1_000, 5_000, 20_000)


def main() -> None:
    """Print the CPU time per signed receipt."""
    signer = Signer(bytes(range(32)))
    for size in _RECEIPT_COUNTS:
        started = time.process_time()
        for number in range(size):
            signer.sign(_make_receipt(number))
        spent_us = (time.process_time() - started) / size * 1e6
        print(f"receipts {size}: {spent_us:.1f} us CPU each")


def _make_receipt(number: int) -> Receipt:
    return Receipt(
        request_id=f"request-{number}",
        request_digest="0" * 64,
        answer_digest="1" * 64,
        service="counter-01",
        outcome="answered",
        snapshot=1,
        coverage=1.0,
        revision=1,
        host="entry-01",
        time_ms=1_700_000_000_000,
    )


if __name__ == "__main__":
    main()
