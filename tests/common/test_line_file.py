"""Files of lines on which nothing depends."""

import json
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import eliot
from kingcuplug_common import log_to_file, open_tracer
from kingcuplug_common._line_file import LineFile


@contextmanager
def full_disk() -> Iterator[None]:
    """Refuse what would make a file larger than 100 bytes.

    A fixture would refuse it until the test is torn down, and so, too, the result that
    pytest reports before that if its output is a file.
    """
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (100, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)


def test_lines_are_dropped_until_the_file_can_be_written(tmp_path: Path) -> None:
    """Guards against an end by a missing folder, and against a file never written."""
    path = tmp_path / "folder" / "lines"
    file = LineFile(path)
    assert not file.write(b"1\n")
    path.parent.mkdir()
    assert file.write(b"2\n")
    assert path.read_bytes() == b"2\n"


def test_pipe_without_a_reader_does_not_block(tmp_path: Path) -> None:
    """Guards against a host that hangs because of its log."""
    path = tmp_path / "pipe"
    os.mkfifo(path)
    assert not LineFile(path).write(b"1\n")


def test_line_that_does_not_fit_leaves_no_half(tmp_path: Path) -> None:
    """Guards against a file that cannot be read after the disk was full."""
    path = tmp_path / "lines"
    file = LineFile(path)
    with full_disk():
        assert file.write(b"x" * 79 + b"\n")
        assert not file.write(b"y" * 79 + b"\n")
        assert file.write(b"z\n")
    assert path.read_bytes() == b"x" * 79 + b"\nz\n"


def test_unwritable_trace_and_log_raise_nothing(tmp_path: Path) -> None:
    """Guards against a host that ends with an error because of its trace."""
    with (
        log_to_file(Path("/dev/full")),
        open_tracer(Path("/dev/full"), 1.0) as tracer,
        tracer.start_as_current_span("hop"),
    ):
        eliot.log_message("message")


def test_log_ends_with_its_context(tmp_path: Path) -> None:
    """Guards against lines that are written twice after a second start."""
    path = tmp_path / "log"
    for number in range(2):
        with log_to_file(path):
            eliot.log_message("message", number=number)
    lines = path.read_text().splitlines()
    assert [json.loads(line)["number"] for line in lines] == [0, 1]
