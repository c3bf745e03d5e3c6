"""HTTP/1.1 connections of the request path, on asyncio protocols.

Both directions parse with httptools. `docs/platform.md` gives the measurement for
which the request path does not use uvicorn and aiohttp.
"""

from kingcuplug_http._descriptors import DescriptorBudget, process_descriptors
from kingcuplug_http._inbound import (
    Handler,
    InboundConnection,
    Limits,
    Listener,
)
from kingcuplug_http._memory_budget import (
    HoldKind,
    MemoryBudget,
    process_budget,
)
from kingcuplug_http._messages import (
    Headers,
    Request,
    Response,
    encode_response,
    end_to_end_headers,
    error_response,
    is_final_status,
)
from kingcuplug_http._outbound import (
    Exchange,
    Failure,
    OutboundConnection,
    Reply,
    connect,
)

__all__ = [
    "DescriptorBudget",
    "Exchange",
    "Failure",
    "Handler",
    "Headers",
    "HoldKind",
    "InboundConnection",
    "Limits",
    "Listener",
    "MemoryBudget",
    "OutboundConnection",
    "Reply",
    "Request",
    "Response",
    "connect",
    "encode_response",
    "end_to_end_headers",
    "error_response",
    "is_final_status",
    "process_budget",
    "process_descriptors",
]
