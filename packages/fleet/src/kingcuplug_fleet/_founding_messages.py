"""Names in the messages by which seeds found the control group."""

__all__ = [
    "ACCEPTED",
    "FOUNDED_REPLY",
    "FOUND_PATH",
    "JOIN_PATH",
    "NO_SEED_REPLY",
    "PROMISED",
    "REFUSED",
    "WITHOUT_DISK_REPLY",
]

FOUND_PATH = "/peer/v2/found"
JOIN_PATH = "/peer/v2/join"
# Replies of hosts that take no part: one that keeps no state, one that has joined a
# group, and one whose disk holds no record of the first start.
WITHOUT_DISK_REPLY = {"state": "without_disk"}
FOUNDED_REPLY = {"state": "founded"}
NO_SEED_REPLY = {"state": "no_seed"}
# States in the replies of seeds.
PROMISED, ACCEPTED, REFUSED = "promised", "accepted", "refused"
