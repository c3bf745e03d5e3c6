"""The build of the tree that hosts start from."""

import signal

import pytest

# Stands for another kind of machine, whose extension modules have other names.
_OTHER_MACHINE = """
import sysconfig
sysconfig.get_config_vars()["EXT_SUFFIX"] = ".cpython-399-other.so"
"""


def _library_files(tree, pattern):
    files = [path for path in tree.root.glob(f"target/**/{pattern}") if path.is_file()]
    assert files
    return files


def test_build_installs_what_a_host_imports_once(tree, interpreter):
    """Guards against a build that installs at each run, or not at all."""
    assert tree.build()[0] == 0
    assert tree.import_host() == ""
    assert tree.build()[0] == 0
    assert interpreter.count_installs() == 1


def test_libraries_of_another_kind_of_machine_are_replaced(tree):
    """Guards against a carried-over tree from which no host starts."""
    tree.build()
    for path in _library_files(tree, "*.so"):
        path.rename(path.with_name(f"{path.name.partition('.')[0]}.cpython-399.so"))
    assert "ModuleNotFoundError" in tree.import_host()
    assert tree.build()[0] == 0
    assert tree.import_host() == ""


def test_libraries_are_installed_again_for_another_interpreter(tree, interpreter):
    """Guards against libraries of the interpreter that built the tree before."""
    tree.build()
    customize = interpreter.site_packages / "sitecustomize.py"
    customize.write_text(_OTHER_MACHINE)
    assert tree.build()[0] == 0
    assert interpreter.count_installs() == 2
    customize.unlink()
    assert tree.build()[0] == 0
    assert interpreter.count_installs() == 3


@pytest.mark.parametrize("damage", ["removed", "cut"])
def test_damaged_libraries_are_replaced(tree, damage):
    """Guards against a stamp that vouches for files which are no longer whole."""
    tree.build()
    for path in _library_files(tree, "metrics_core.py"):
        if damage == "removed":
            path.unlink()
        else:
            path.write_bytes(path.read_bytes()[:100])
    assert tree.build()[0] == 0
    assert tree.import_host() == ""


@pytest.mark.parametrize("status", [1, -signal.SIGKILL])
def test_interrupted_install_is_repeated(tree, interpreter, status):
    """Guards against half-installed libraries that a later build takes for whole."""
    interpreter.plan_installs(status=status)
    assert tree.build()[0] != 0
    interpreter.plan_installs()
    assert tree.build()[0] == 0
    assert interpreter.count_installs() == 2
    assert tree.import_host() == ""


@pytest.mark.parametrize("library", ["httptools", "orjson", "prometheus_client"])
def test_build_fails_if_a_host_would_lack_a_library(tree, interpreter, library):
    """Guards against hosts that end at the start, or fail at a first request."""
    interpreter.plan_installs(without=library)
    # Hosts do not see the packages that the machine has.
    interpreter.add_to_machine(library)
    status, output = tree.build()
    assert status != 0
    assert f"No module named '{library}'" in output
    assert "remove target" in output
    assert str(interpreter.bin) in output


def test_variables_of_the_build_do_not_choose_the_interpreter(tree, tmp_path):
    """Guards against an environment of the build that hosts do not get."""
    (tmp_path / "kingcuplug_platform.py").write_text("raise SystemExit('shadowed')")
    assert tree.build(PYTHONPATH=str(tmp_path), PYTHONHOME="/nowhere")[0] == 0
    assert tree.import_host() == ""


def test_modules_of_an_older_landing_are_removed(tree):
    """Guards against modules that only an older landing had."""
    tree.build()
    (tree.root / "target/deps/former_library.py").touch()
    assert tree.build()[0] == 0
    assert not (tree.root / "target/deps/former_library.py").exists()


def test_interpreter_that_is_too_old_is_named(tree, interpreter):
    """Guards against a tree that the interpreter of the hosts cannot compile."""
    (interpreter.site_packages / "sitecustomize.py").write_text(
        "import sys; sys.version_info = (3, 10, 0, 'final', 0)"
    )
    status, output = tree.build()
    assert status != 0
    assert "Python 3.11" in output
    assert interpreter.count_installs() == 0


def _change_source(tree):
    source = tree.root / "platform/src/kingcuplug_platform/_main.py"
    source.write_text(source.read_text() + "\n# Changed.\n")


def _is_change_in_tree(tree):
    built = tree.root / "target/deps/kingcuplug_platform/_main.py"
    return "# Changed." in built.read_text()


# The first copy is that of the libraries, the ninth that of the last package.
@pytest.mark.parametrize("copies", [1, 9])
@pytest.mark.parametrize("end", ["kill -KILL $PPID", "exit 1"])
def test_interrupted_build_leaves_a_usable_tree(tree, copies, end):
    """Guards against a build, killed or on a full disk, that leaves half a tree."""
    tree.build()
    _change_source(tree)
    tree.replace_copy(f'[ "$calls" -ne {copies} ] || {end}')
    assert tree.build()[0] != 0
    assert tree.import_host() == ""
    assert not _is_change_in_tree(tree)
    # Only a killed build leaves its files behind; they may fill the disk.
    killed = "KILL" in end
    assert (tree.root / "target/deps.new").exists() == killed
    tree.replace_copy("")
    assert tree.build()[0] == 0
    assert tree.import_host() == ""
    assert _is_change_in_tree(tree)


def test_build_interrupted_while_it_replaces_the_tree_can_be_repeated(tree):
    """Guards against a tree that is removed before the new one is whole."""
    tree.build()
    deps = tree.root / "target/deps"
    deps.rename(deps.with_name("deps.old"))
    tree.replace_copy("exit 1")
    assert tree.build()[0] != 0
    assert tree.import_host() == ""


def test_hosts_start_during_a_build(tree):
    """Guards against hosts that find half of a tree and end."""
    tree.build()
    _change_source(tree)
    log = tree.root / "imports"
    statement = "import kingcuplug_platform._main; print('imported')"
    tree.replace_copy(
        f'PYTHONPATH="$PWD/target/deps" python3 -S -c "{statement}" >> {log} 2>&1'
    )
    assert tree.build()[0] == 0
    outputs = log.read_text().splitlines()
    assert len(outputs) > 1
    assert set(outputs) == {"imported"}
    assert _is_change_in_tree(tree)


def test_builds_at_once_do_not_disturb_each_other(tree, interpreter):
    """Guards against a build that removes what another one has just placed."""
    builds = [tree.start_build() for _ in range(4)]
    outputs = [build.communicate(timeout=120)[0] for build in builds]
    assert [build.returncode for build in builds] == [0] * len(builds), outputs
    assert tree.import_host() == ""
    assert interpreter.count_installs() == 1


def test_unchanged_tree_is_kept_for_the_hosts_that_run_from_it(tree):
    """Guards against needless changes below hosts that import a module later."""
    tree.build()
    deps = tree.root / "target/deps"
    before = deps.stat()
    assert tree.build()[0] == 0
    after = deps.stat()
    # A new folder may get the number of a removed one.
    assert (after.st_ino, after.st_mtime_ns) == (before.st_ino, before.st_mtime_ns)


def test_damaged_bytecode_is_replaced(tree):
    """Guards against hosts that end because a compiled module was cut."""
    tree.build()
    for path in tree.root.glob("target/deps/kingcuplug_platform/__pycache__/*.pyc"):
        path.write_bytes(path.read_bytes()[:100])
    assert "EOFError" in tree.import_host()
    assert tree.build()[0] == 0
    assert tree.import_host() == ""
