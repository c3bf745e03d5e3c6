"""Estimates what decoding JSON costs, before it is decoded."""

__all__ = ["estimate_decoded_bytes"]

# An empty list or a short string with its place in a container, or a part of the table
# of an object.
_VALUE_BYTES = 64
_VALUE_MARKS = (b",", b":", b"[", b"{")
# Shorter texts are not worth counting in.
_MIN_COUNTED_BYTES = 65_536


def estimate_decoded_bytes(text: bytes) -> int:
    """Return about how much memory the decoded value of a JSON text takes.

    A text of empty arrays takes twenty times its own size. Marks within strings count,
    too, so the estimate may be too high, but not much too low. Short texts count with
    the largest multiple.
    """
    if len(text) < _MIN_COUNTED_BYTES:
        return len(text) * _VALUE_BYTES
    return len(text) + _VALUE_BYTES * sum(map(text.count, _VALUE_MARKS))
