"""Configurations that the operator of the cases sends."""

__all__ = ["HOST_NAME", "PATH", "SERVICE", "make_configuration"]

HOST_NAME = "records.example"
SERVICE = "cards"
PATH = "/cards/1"


def make_configuration(
    version: int = 1,
    kind: str = "safe",
    timeout_ms: int = 8_000,
    connection_limit: int = 38,
) -> dict[str, object]:
    """Return a configuration with one route and one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-cards",
                "host": HOST_NAME,
                "path_prefix": "/cards/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 500,
                "priority": 0,
                "service": SERVICE,
                "max_attempts": 2,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_check_path": "/health",
                "connection_limit": connection_limit,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }
