"""Stand-ins for the platform, backend servers, callers and operators.

They use the standard library only, listen on loopback addresses, and follow the users'
pages. `case.py` of each case starts the hosts with the command of the deploy file.
"""

from standins.backends import BackendServer, Run
from standins.cases import Record, run_case
from standins.hosts import Deployment, HostProcess
from standins.messages import Answer, exchange, read_answer, request_id
from standins.operators import apply_document, configuration, read_document

__all__ = [
    "Answer",
    "BackendServer",
    "Deployment",
    "HostProcess",
    "Record",
    "Run",
    "apply_document",
    "configuration",
    "exchange",
    "read_answer",
    "read_document",
    "request_id",
    "run_case",
]
