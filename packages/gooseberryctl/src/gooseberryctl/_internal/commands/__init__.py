"""Subcommands, in the order in which they are registered."""

from gooseberryctl._internal.base_command import BaseCommand

from .apply import ApplyCommand
from .ask import AskCommand
from .causes import CausesCommand
from .diff import DiffCommand
from .explain import ExplainCommand
from .where import WhereCommand

COMMANDS: tuple[type[BaseCommand], ...] = (
    AskCommand,
    DiffCommand,
    ApplyCommand,
    ExplainCommand,
    CausesCommand,
    WhereCommand,
)
