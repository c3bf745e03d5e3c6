"""Checksummed records in a file.

A record is a marker, the payload's length, a CRC-32 of length and payload, and the
payload as JSON. The marker contains bytes that never occur in UTF-8, so that after an
invalid record the next candidate can be found without trusting the length.
"""

import struct
import zlib
from typing import Any

import orjson

from kingcuplug_log._errors import CorruptLog

__all__ = ["decode_single_record", "encode_record", "scan_records"]

_MARKER = b"\xf5KL\xfa"
_HEADER = struct.Struct(">4sII")
_LENGTH = struct.Struct(">I")


def encode_record(value: Any) -> bytes:
    """Encode a JSON value as a record."""
    payload = orjson.dumps(value)
    return _HEADER.pack(_MARKER, len(payload), _checksum(payload)) + payload


def scan_records(data: bytes, file: str) -> tuple[list[Any], int]:
    """Decode all records; return their values and the offset of a torn tail.

    Raises
    ------
    CorruptLog
        If a valid record follows an invalid one. A crash cannot cause this,
        because at most the last record of a file is ever unsynced.
    """
    values: list[Any] = []
    offset = 0
    while offset < len(data):
        record = _decode_record_at(data, offset)
        if record is None:
            _check_torn_tail(data, offset, file)
            break
        value, offset = record
        values.append(value)
    return values, offset


def decode_single_record(data: bytes, file: str) -> Any:
    """Decode a file that consists of exactly one record.

    Raises
    ------
    CorruptLog
        If the file contains anything else. Such files are replaced by rename, so a
        crash cannot leave a partial one.
    """
    record = _decode_record_at(data, 0)
    if record is None or record[1] != len(data):
        raise CorruptLog(file, 0, "the file is not exactly one valid record")
    return record[0]


def _checksum(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_LENGTH.pack(len(payload))))


def _decode_record_at(data: bytes, offset: int) -> tuple[Any, int] | None:
    if offset + _HEADER.size > len(data):
        return None
    marker, length, checksum = _HEADER.unpack_from(data, offset)
    payload_start = offset + _HEADER.size
    payload = data[payload_start : payload_start + length]
    if marker != _MARKER or len(payload) != length or _checksum(payload) != checksum:
        return None
    return orjson.loads(payload), payload_start + length


def _check_torn_tail(data: bytes, invalid_offset: int, file: str) -> None:
    offset = data.find(_MARKER, invalid_offset + 1)
    while offset >= 0:
        if _decode_record_at(data, offset) is not None:
            reason = f"an invalid record is followed by a valid one at {offset}"
            raise CorruptLog(file, invalid_offset, reason)
        offset = data.find(_MARKER, offset + 1)
