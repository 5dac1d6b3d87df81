"""The operators: change the configuration through a process of the system."""

from typing import Any

from fuchsiarill.replay.seen import SeenKind, SeenLog


class Operators:
    """All operators of one replay."""

    def __init__(self, log: SeenLog) -> None:
        """Note what comes of each change."""
        self._log = log

    def change(
        self,
        changes: dict[str, Any],
        text: str | None,
        author: str,
        via: str | None,
    ) -> None:
        """Change the present document."""
        self._log.note(
            SeenKind.CONFIG_REFUSED,
            author,
            code='unknown_route',
        )
