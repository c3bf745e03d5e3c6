"""Handing on suspects to a coordinator that knows less than the last one.

Handles this load pattern: the coordinator is lost, and the next one has just started.
Requests with one or two executions would be forgotten, and those in quarantine until
hosts report them again.
"""

from kingcuplug_routing import SuspectRecord, SuspectRecords

__all__ = ["SuspectHandover", "merge_suspects", "missing_suspects"]

# A report, also a repeated one, and the summary that follows take less.
_HANDOVER_S = 3.0


def missing_suspects(held: SuspectRecords, published: SuspectRecords) -> SuspectRecords:
    """Return the held records with executions that the published ones lack."""
    return {
        fingerprint: record
        for fingerprint, record in held.items()
        if fingerprint not in published
        or not record.executions <= published[fingerprint].executions
    }


def merge_suspects(held: SuspectRecords, published: SuspectRecords) -> SuspectRecords:
    """Return all records, with the executions of both."""
    merged = dict(published)
    for fingerprint, record in held.items():
        other = merged.get(fingerprint, record)
        merged[fingerprint] = SuspectRecord(
            max(record.minutes_left, other.minutes_left),
            record.executions | other.executions,
        )
    return merged


class SuspectHandover:
    """Keeps what the last coordinator published until the next one has taken it over.

    From then on a suspect that is no longer published has ended.
    """

    def __init__(self) -> None:
        self._run = ("", "")
        self._held: SuspectRecords = {}
        self._held_until = float("-inf")

    def follow(
        self,
        run: tuple[str, str],
        known: SuspectRecords,
        published: SuspectRecords,
        now: float,
    ) -> tuple[SuspectRecords, SuspectRecords]:
        """Take over a summary.

        Parameters
        ----------
        run : tuple of str
            Address of the coordinator and identifier of the run of its process.
        known, published : mapping
            Suspects as known until now, and as in the summary.

        Returns
        -------
        tuple of mappings
            The suspects to go on with, and those to report to the coordinator.
        """
        is_new = run != self._run
        if is_new:
            self._run, self._held, self._held_until = run, known, now + _HANDOVER_S
        if now >= self._held_until:
            self._held = {}
        self._held = missing_suspects(self._held, published)
        return merge_suspects(self._held, published), self._held if is_new else {}
