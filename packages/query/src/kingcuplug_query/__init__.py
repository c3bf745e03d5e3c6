"""Execution of queries and orders over many shards."""

from kingcuplug_query._backend_client import (
    CancelAttempt,
    ConnectFailed,
    HttpBackendClient,
    IsReachable,
    ReplyLost,
    SendSubRequest,
)
from kingcuplug_query._background_tasks import BackgroundTasks
from kingcuplug_query._messages import (
    Answer,
    OrderRequest,
    QueryRequest,
    ReplyInvalid,
    ReplyStatus,
    SubReply,
    SubRequest,
    parse_reply,
)
from kingcuplug_query._order_refusals import refusal_for_all_copies
from kingcuplug_query._orders import OrderExecutor
from kingcuplug_query._query import (
    QueryExecutor,
    RevisionView,
    ServiceRuntime,
    fingerprint_of,
)
from kingcuplug_query._snapshots import choose_snapshot, shard_of, wanted_shards

__all__ = [
    "Answer",
    "BackgroundTasks",
    "CancelAttempt",
    "ConnectFailed",
    "HttpBackendClient",
    "IsReachable",
    "OrderExecutor",
    "OrderRequest",
    "QueryExecutor",
    "QueryRequest",
    "ReplyInvalid",
    "ReplyLost",
    "ReplyStatus",
    "RevisionView",
    "SendSubRequest",
    "ServiceRuntime",
    "SubReply",
    "SubRequest",
    "choose_snapshot",
    "fingerprint_of",
    "parse_reply",
    "refusal_for_all_copies",
    "shard_of",
    "wanted_shards",
]
