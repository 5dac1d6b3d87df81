"""Configures the output and the format of log lines."""

import sys
from collections.abc import Callable
from typing import Any, Final

from loguru import logger

from fuchsiarill.log_event import Level, LogFormat

_TEXT_FORMAT: Final = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[event]} {message}'
)


def log_to_stderr(log_format: LogFormat, level: Level) -> None:
    """Send log lines to standard error in the given format."""
    _send_to(
        sys.stderr,
        level,
        _TEXT_FORMAT,
        is_json=log_format is LogFormat.JSON,
    )


def log_to_sink(sink: Callable[[Any], None], level: Level) -> None:
    """Send log lines to a sink, which receives loguru's messages."""
    _send_to(sink, level, '{message}')


def _send_to(
    sink: Any,
    level: Level,
    line_format: str,
    *,
    is_json: bool = False,
) -> None:
    logger.remove()
    logger.configure(extra={'event': 0})
    logger.add(
        sink,
        level=level.value,
        format=line_format,
        serialize=is_json,
        backtrace=False,
        diagnose=False,
    )
