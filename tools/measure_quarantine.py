"""Measure the control traffic of requests that crash servers, by their number."""

import hashlib
import time
import zlib

import orjson
from kingcuplug_fleet._mesh_messages import SharedFields
from kingcuplug_routing import RequestQuarantine, SuspectRegister

_EXECUTIONS = 3


def _digest(text: str, size: int) -> str:
    return hashlib.blake2b(text.encode(), digest_size=size).hexdigest()


def main() -> None:
    """Print the size of the published list, and the time to apply it at a host."""
    print("suspects  JSON bytes  deflated bytes  apply ms")
    for count in (1, 8, 64):
        register = SuspectRegister()
        for number in range(count):
            fingerprint = _digest(f"request {number}", size=8)
            for execution in range(_EXECUTIONS):
                attempt = _digest(f"attempt {number}.{execution}", size=4)
                register.record_crash(fingerprint, attempt, now=1.0)
        records = register.records(1.0)
        data = orjson.dumps(SharedFields(suspects=records).to_json())
        quarantine = RequestQuarantine()
        started_at = time.perf_counter()
        quarantine.apply(records, now=1.0)
        elapsed_ms = (time.perf_counter() - started_at) * 1_000
        deflated = len(zlib.compress(data, 1))
        print(f"{count:8}  {len(data):10}  {deflated:14}  {elapsed_ms:8.2f}")


if __name__ == "__main__":
    main()
