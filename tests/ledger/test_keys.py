"""Strict parsing of idempotency keys, whose issue time bounds their validity."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from kingcuplug_ledger import KeyInvalid, parse_key


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.text(max_size=40) | st.from_regex(r"\d+-\w+"))
@example("1-abcdefgh\n")
@example("01-abcdefgh")
@example("٣-abcdefgh")
@example("9" * 5_000 + "-abcdefgh")
def test_accepted_key_has_one_spelling(key: str) -> None:
    # Guards against two spellings of one key, and against untyped errors.
    try:
        parsed = parse_key(key)
    except KeyInvalid as error:
        assert "<issue time in ms>" in error.remedy
    else:
        assert str(parsed) == key


@pytest.mark.parametrize(
    "key", ["", "-", "1", "-abcdefgh", "1-short", "1.5-abcdefgh", "+1-abcdefgh", None]
)
def test_malformed_keys_are_rejected(key: str) -> None:
    # Guards against keys without an issue time or with too short a random text.
    with pytest.raises(KeyInvalid):
        parse_key(key)


def test_random_text_may_contain_hyphens() -> None:
    # Guards against a wrong split where the random text has hyphens.
    parsed = parse_key("1700000000000-ab-cd-ef-1")
    assert parsed.issue_ms == 1_700_000_000_000
    assert parsed.random_text == "ab-cd-ef-1"
