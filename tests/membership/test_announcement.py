"""Announcements come from processes outside the system and must be validated."""

from dataclasses import asdict
from typing import Any

import pytest
from kingcuplug_membership import AnnouncementInvalid, parse_announcement

from .conftest import make_announcement

VALID: dict[str, Any] = asdict(make_announcement())


def test_valid_announcement_is_parsed() -> None:
    # Guards against a parser that loses fields.
    assert parse_announcement(VALID) == make_announcement()


@pytest.mark.parametrize(
    ("fault", "place"),
    [
        ({"server": ""}, "server"),
        ({"service": "a/b"}, "service"),
        ({"address": "example.org:80"}, "address"),
        ({"address": "127.0.0.1:0"}, "port"),
        ({"incarnation": -1}, "incarnation"),
        ({"sequence": "4"}, "sequence"),
        ({"slots": 0}, "slots"),
        ({"connections": True}, "connections"),
        ({"state": "asleep"}, "state"),
        ({"colour": "black"}, "colour"),
        ({"holdings": [{"snapshot": 1, "shard_count": 2, "shards": [2]}]}, "shard 2"),
        ({"holdings": [{"snapshot": 1, "shard_count": 2, "shards": [1, 1]}]}, "twice"),
        ({"holdings": [{"snapshot": 1, "shard_count": 2, "shards": []}] * 2}, "twice"),
    ],
)
def test_invalid_announcement_is_rejected_with_remedy(
    fault: dict[str, Any], place: str
) -> None:
    # Guards against invalid values that reach the directory, and against an error
    # that does not say what to correct.
    with pytest.raises(AnnouncementInvalid) as caught:
        parse_announcement(VALID | fault)
    assert place in caught.value.message
    assert "announce again" in caught.value.remedy


@pytest.mark.parametrize("value", [None, [], "text", 3, {}])
def test_json_other_than_an_announcement_is_rejected(value: Any) -> None:
    # Guards against an untyped error for a body that is not a JSON object.
    with pytest.raises(AnnouncementInvalid):
        parse_announcement(value)


def test_all_faults_are_named_at_once() -> None:
    # Guards against errors that make an operator correct one field per attempt.
    with pytest.raises(AnnouncementInvalid, match=r"2 faults.*slots.*connections"):
        parse_announcement(VALID | {"slots": 0, "connections": 0})
