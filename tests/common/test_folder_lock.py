"""Exclusive use of a folder."""

from pathlib import Path

import pytest
from kingcuplug_common import FolderInUse, FolderLock


def test_folder_has_one_user_at_a_time(tmp_path: Path) -> None:
    """Guards against two processes that write one state."""
    folder = tmp_path / "missing" / "data"
    lock = FolderLock(folder)
    with pytest.raises(FolderInUse, match=str(folder)):
        FolderLock(folder)
    lock.release()
    FolderLock(folder).release()
    assert not list(folder.iterdir())


def test_lock_lasts_without_a_reference(tmp_path: Path) -> None:
    """Guards against a lock that ends before the threads that write to the folder."""
    FolderLock(tmp_path)
    with pytest.raises(FolderInUse):
        FolderLock(tmp_path)
