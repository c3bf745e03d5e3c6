"""Time for which a request waits at a host that has just started.

Handles this load pattern: all hosts lose power at once and restart within a second or
two, but have neither routes nor servers until the control hosts have elected a leader
and the servers have announced themselves. Callers send requests at once; most have time
to wait, and a refusal would only make them resend before anything has changed.
"""

__all__ = ["startup_wait_until"]

# An election after a restart of all hosts takes 1.2 s, a round of the servers'
# announcements about as long. A host that has run for longer without routes is
# partitioned, and its callers are better served by other hosts.
MAX_STARTUP_WAIT_S = 4.0
# A caller that is refused after the wait needs the remaining time for another host.
_WAIT_SHARE_OF_TIMEOUT = 0.45


def startup_wait_until(
    received_at: float, deadline_at: float, started_at: float
) -> float:
    """Return the event loop time until which a request may wait for routes or servers.

    Parameters
    ----------
    received_at, deadline_at : float
        Event loop times of the request's arrival and deadline.
    started_at : float
        Event loop time at which the host started.
    """
    wait_until_at = received_at + (deadline_at - received_at) * _WAIT_SHARE_OF_TIMEOUT
    return min(wait_until_at, started_at + MAX_STARTUP_WAIT_S)
