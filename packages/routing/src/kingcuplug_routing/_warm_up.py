"""How long a request waits at a host that has just started.

Answers this load pattern: all hosts lose power at once and are back within a second
or two, but know neither routes nor servers until the control hosts have elected a
leader and the servers have spoken. Callers come at once; most of them have time to
wait, and a refusal would only bring them back while nothing has changed.
"""

__all__ = ["wait_until"]

# An election after a start of all hosts takes 1.2 s, a round of the servers'
# statements about as long. An older host without routes is cut off, and its callers
# are better served elsewhere.
WARM_UP_S = 4.0
# A caller that is refused in the end needs the rest of its time for another host.
_SHARE_OF_TIME = 0.45


def wait_until(received_at: float, deadline_at: float, started_at: float) -> float:
    """Return until when a request may wait for routes or servers.

    Parameters
    ----------
    received_at, deadline_at : float
        Of the request, in event loop time.
    started_at : float
        When the host started.
    """
    patience_at = received_at + (deadline_at - received_at) * _SHARE_OF_TIME
    return min(patience_at, started_at + WARM_UP_S)
