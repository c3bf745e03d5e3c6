"""The kingcuplugd process: composition, HTTP applications and shutdown."""

from kingcuplug_daemon._entry_node import routing_policy_for
from kingcuplug_daemon._host import Host
from kingcuplug_daemon._listener import Listener
from kingcuplug_daemon._main import main
from kingcuplug_daemon._tls import client_context

__all__ = ["Host", "Listener", "client_context", "main", "routing_policy_for"]
