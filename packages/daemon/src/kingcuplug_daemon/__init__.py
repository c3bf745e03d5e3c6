"""The kingcuplugd process: composition, HTTP applications and shutdown.

Only the entry point is imported at once, so that it can hold back signals before
anything large is imported.
"""

from typing import TYPE_CHECKING, Any

from kingcuplug_daemon._start import main

if TYPE_CHECKING:
    from kingcuplug_daemon._entry_node import routing_policy_for
    from kingcuplug_daemon._host import Host
    from kingcuplug_daemon._listener import Listener
    from kingcuplug_daemon._tls import client_context

__all__ = ["Host", "Listener", "client_context", "main", "routing_policy_for"]


def __getattr__(name: str) -> Any:
    from kingcuplug_common import import_on_first_use

    names_by_module = {
        "_entry_node": ("routing_policy_for",),
        "_host": ("Host",),
        "_listener": ("Listener",),
        "_tls": ("client_context",),
    }
    return import_on_first_use(__name__, names_by_module)(name)
