"""Run one command and print its result."""

import asyncio
import dataclasses
import json
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Concatenate, ParamSpec, TypeVar

import fire
from kingcuplug_common import KingcuplugError

from kingcuplug_cli._connection import OperatorClient, load_connection
from kingcuplug_cli._results import ExitCode, Result

__all__ = ["Invocation", "InvocationFactory", "add_switch_values", "parse_as_strings"]

_SWITCHES = frozenset(("--json", "--wait", "--raw"))

_Parameters = ParamSpec("_Parameters")
_Function = TypeVar("_Function", bound=Callable[..., Any])


class Invocation:
    """A command whose arguments are parsed and that has not run yet.

    Parameters
    ----------
    command : callable
        Runs the command.
    as_json : bool
        Whether the result is printed as JSON.
    """

    def __init__(self, command: Callable[[], Awaitable[Result]], as_json: bool) -> None:
        self._command = command
        self._as_json = as_json

    def _run(self) -> int:
        """Run the command, print its result and return the exit code."""
        try:
            result = asyncio.run(self._await_command())
        except KingcuplugError as error:
            code = getattr(error, "exit_code", ExitCode.REFUSED)
            print(self._error_text(error, code), file=sys.stderr)
            return int(code)
        except KeyboardInterrupt:
            print("kingcuplug: interrupted", file=sys.stderr)
            return int(ExitCode.OUTCOME_UNKNOWN)
        if self._as_json:
            fields = dataclasses.asdict(result)  # type: ignore[call-overload]
            print(json.dumps(fields, indent=2))
        else:
            for line in result.lines():
                print(line)
        return int(result.exit_code)

    async def _await_command(self) -> Result:
        return await self._command()

    def _error_text(self, error: KingcuplugError, code: ExitCode) -> str:
        if not self._as_json:
            return f"kingcuplug: {error.message}; {error.remedy}"
        kind = getattr(error, "kind", type(error).__name__)
        fields = {
            "error": kind,
            "message": error.message,
            "remedy": error.remedy,
            "exit_code": int(code),
        }
        return json.dumps(fields, indent=2)


class InvocationFactory:
    """Creates invocations with the connection options and the output format.

    Parameters
    ----------
    options : Mapping
        Connection options from the command line.
    as_json : bool
        Whether results are printed as JSON.
    """

    def __init__(self, options: Mapping[str, str | None], as_json: bool) -> None:
        self._options = options
        self._as_json = as_json

    def local_invocation(
        self,
        function: Callable[_Parameters, Awaitable[Result]],
        *args: _Parameters.args,
        **kwargs: _Parameters.kwargs,
    ) -> Invocation:
        """Return the invocation of a command that needs no host."""
        return Invocation(lambda: function(*args, **kwargs), self._as_json)

    def remote_invocation(
        self,
        function: Callable[Concatenate[OperatorClient, _Parameters], Awaitable[Result]],
        *args: _Parameters.args,
        **kwargs: _Parameters.kwargs,
    ) -> Invocation:
        """Return the invocation of a command that calls a host."""

        async def run_command() -> Result:
            client = OperatorClient(load_connection(self._options))
            return await function(client, *args, **kwargs)

        return Invocation(run_command, self._as_json)


def parse_as_strings(*names: str) -> Callable[[_Function], _Function]:
    """Parse the named arguments as strings, where fire would make numbers or lists."""

    def decorate(function: _Function) -> _Function:
        fire.decorators.SetParseFns(**dict.fromkeys(names, str))(function)
        return function

    return decorate


def add_switch_values(arguments: Sequence[str]) -> list[str]:
    """Return the arguments with an explicit value for each switch.

    Without it, fire takes the argument after a switch as the value of the switch.
    """
    return [f"{word}=True" if word in _SWITCHES else word for word in arguments]
