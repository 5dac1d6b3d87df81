"""Commands of the command line: a registry that decorators fill.

A command is a function that takes the parsed arguments and a client, and
returns an answer. The `main` module parses the arguments, calls the function,
prints the answer and exits with its exit status.
"""

from argparse import ArgumentParser, Namespace
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from fuchsiarill.codes import DONE, ExitStatus, ResultCode
from fuchsiarill.commands.client import Client
from fuchsiarill.registry import Registry


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """Output and result of a command.

    `content` is a mapping, a list of mappings or lines, a text, or `None` if
    there is no output. `notes` are messages for the user, printed to standard
    error.
    """

    content: Any
    code: ResultCode = DONE
    notes: tuple[str, ...] = ()

    @property
    def exit_status(self) -> ExitStatus:
        """Return the exit status that belongs to the code."""
        return self.code.exit_status


CommandFunction = Callable[[Namespace, Client], CommandAnswer]
ArgumentsFunction = Callable[[ArgumentParser], None]


def no_arguments(parser: ArgumentParser) -> None:
    """Declare no arguments beyond the common ones."""


@dataclass(frozen=True, slots=True)
class Command:
    """One subcommand; `words` are typed by the user to select it.

    `example` is shown by `--help`.
    """

    words: tuple[str, ...]
    summary: str
    example: str
    run: CommandFunction
    arguments: ArgumentsFunction = field(default=no_arguments)


COMMANDS: Final[Registry[tuple[str, ...], Command]] = Registry('commands')


def command(
    words: str,
    summary: str,
    example: str,
    arguments: ArgumentsFunction = no_arguments,
) -> Callable[[CommandFunction], CommandFunction]:
    """Register the decorated function as the command `words`."""

    def decorator(run: CommandFunction) -> CommandFunction:
        key = tuple(words.split())
        COMMANDS.register(key)(
            Command(key, summary, example, run, arguments),
        )
        return run

    return decorator
