"""The trace format: YAML checked with pydantic, problems named with line.

`docs/TRACES.md` describes it for people who write traces.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final, Generic, TypeVar

import yaml
from pydantic import BaseModel, Field, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill.cell_config import parse_config
from fuchsiarill.refusal import Refusal
from fuchsiarill.registry import Registry
from fuchsiarill.replay import (  # noqa: F401
    event_kinds,
    faults_hosts,
    faults_links,
    outcomes_config,
    outcomes_jobs,
    outcomes_load,
    outcomes_safety,
    outcomes_tasks,
)
from fuchsiarill.replay.deployment import (
    Deployment,
    TraceModel,
    merge,
    named_deployments,
    read_named,
)
from fuchsiarill.replay.kinds import (
    EVENT_KINDS,
    FAULT_KINDS,
    OUTCOME_KINDS,
    EventKind,
    FaultKind,
    OutcomeKind,
)
from fuchsiarill.replay.world import config_text, process_settings
from fuchsiarill.settings import ProcessSettings

_Kind = TypeVar('_Kind', bound=TraceModel)
_Model = TypeVar('_Model', bound=BaseModel)
_Positive = Annotated[int, Field(gt=0)]
_Time = Annotated[int, Field(ge=0)]
_Path = tuple[int | str, ...]
_Entry = dict[str, Any] | str

_FRAME_FIELDS: Final = frozenset(('at_ms', 'for_ms'))


class _TraceFile(TraceModel):
    """The outer part of a trace file; entries are checked by their kind."""

    about: str
    proves: tuple[str, ...] = ()
    deployment: str | dict[str, Any] = 'small'
    processes_count: _Positive = 3
    process_domains: tuple[str, ...] = ()
    seed: int = 1
    duration_ms: _Positive
    settings: dict[str, Any] = Field(default_factory=dict)
    config: dict[str, Any] = Field(default_factory=dict)
    events: tuple[_Entry, ...] = ()
    faults: tuple[_Entry, ...] = ()
    outcomes: tuple[_Entry, ...]


class _Timing(TraceModel):
    at_ms: _Time
    for_ms: _Positive | None = None


@dataclass(frozen=True, slots=True)
class Timed(Generic[_Kind]):
    """An event or a fault with its time; `for_ms` is the length of a fault."""

    at_ms: int
    name: str
    kind: _Kind
    for_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Stated(Generic[_Kind]):
    """One stated outcome."""

    name: str
    kind: _Kind


@dataclass(frozen=True, slots=True)
class Trace:
    """A trace that passed all checks."""

    name: str
    frame: _TraceFile
    deployment: Deployment
    domains: tuple[str, ...]
    events: tuple[Timed[EventKind], ...]
    faults: tuple[Timed[FaultKind], ...]
    outcomes: tuple[Stated[OutcomeKind], ...]


@dataclass(frozen=True, slots=True)
class TraceProblem:
    """One problem of a trace file."""

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        return f'{self.file}:{self.line}: {self.field}: {self.text}'


def load_trace(path: Path) -> Result[Trace, tuple[TraceProblem, ...]]:
    """Read a trace file; raises `OSError`."""
    return parse_trace(str(path), path.read_text())


def parse_trace(
    file: str,
    text: str,
) -> Result[Trace, tuple[TraceProblem, ...]]:
    """Check a trace; fails with every problem found."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        line = 1 if mark is None else mark.line + 1
        return Failure((TraceProblem(file, line, 'YAML', _cause_of(error)),))
    reader = _Reader(file, root)
    trace = reader.read(document)
    if trace is None:
        return Failure(tuple(reader.problems))
    return Success(trace)


class _Reader:
    """Checks one document and collects its problems."""

    def __init__(self, file: str, root: yaml.Node | None) -> None:
        """Keep the nodes for line numbers."""
        self.problems: list[TraceProblem] = []
        self._file = file
        self._root = root

    def read(self, document: Any) -> Trace | None:
        """Return the trace, or `None` when there are problems."""
        frame = self._checked(_TraceFile, document, ())
        if frame is None:
            return None
        deployment = self._deployment(frame)
        events = self._timed(frame.events, EVENT_KINDS, 'events')
        faults = self._timed(frame.faults, FAULT_KINDS, 'faults')
        outcomes = self._stated(frame.outcomes)
        if deployment is None:
            return None
        domains = frame.process_domains or deployment.domains
        own = process_settings('p1', domains[0], deployment, frame.settings)
        self._checked(ProcessSettings, own, ('settings',))
        if self.problems:
            return None
        return Trace(
            Path(self._file).stem,
            frame,
            deployment,
            tuple(
                domains[number % len(domains)]
                for number in range(frame.processes_count)
            ),
            tuple(events),
            tuple(faults),
            tuple(outcomes),
        )

    def _deployment(self, frame: _TraceFile) -> Deployment | None:
        document = frame.deployment
        if isinstance(document, str):
            known = named_deployments()
            if document not in known:
                self._add(('deployment',), f'is not one of {known}')
                return None
            document = read_named(document)
        whole = dict(document)
        whole['config'] = merge(document.get('config', {}), frame.config)
        deployment = self._checked(Deployment, whole, ('deployment',))
        if deployment is not None:
            self._check_config(deployment)
        return deployment

    def _check_config(self, deployment: Deployment) -> None:
        """Apply the checks that an operator's document has to pass."""
        match parse_config(config_text(deployment.config)):
            case Failure(refusals):
                for refusal in refusals:
                    _, _, text = refusal.text.partition(': ')
                    self._add(('config', *_path_of(refusal)), text)

    def _timed(
        self,
        entries: tuple[_Entry, ...],
        registry: Registry[str, type[_Kind]],
        section: str,
    ) -> list[Timed[_Kind]]:
        read = []
        for index, entry in enumerate(entries):
            path = (section, index)
            if isinstance(entry, str):
                self._add(path, 'needs at_ms')
                continue
            frame = {
                name: entry[name] for name in entry if name in _FRAME_FIELDS
            }
            rest = {name: entry[name] for name in entry if name not in frame}
            timing = self._checked(_Timing, frame, path)
            found = self._of_kind(rest, registry, path)
            if timing is not None and found is not None:
                read.append(
                    Timed(
                        timing.at_ms,
                        found.name,
                        found.kind,
                        timing.for_ms,
                    ),
                )
        return read

    def _stated(
        self,
        entries: tuple[_Entry, ...],
    ) -> list[Stated[OutcomeKind]]:
        read = []
        for index, entry in enumerate(entries):
            whole = {entry: {}} if isinstance(entry, str) else entry
            found = self._of_kind(whole, OUTCOME_KINDS, ('outcomes', index))
            if found is not None:
                read.append(found)
        return read

    def _of_kind(
        self,
        entry: dict[str, Any],
        registry: Registry[str, type[_Kind]],
        path: _Path,
    ) -> Stated[_Kind] | None:
        if len(entry) != 1:
            self._add(path, f'needs exactly one kind, found {sorted(entry)}')
            return None
        name, stated = next(iter(entry.items()))
        if name not in registry:
            self._add((*path, name), f'is not one of {list(registry)}')
            return None
        kind = self._checked(
            registry.lookup(name),
            {} if stated is None else stated,
            (*path, name),
        )
        return None if kind is None else Stated(name, kind)

    def _checked(
        self,
        model: type[_Model],
        document: Any,
        path: _Path,
    ) -> _Model | None:
        try:
            return model.model_validate(document)
        except ValidationError as invalid:
            for found in invalid.errors():
                self._add((*path, *found['loc']), found['msg'])
        return None

    def _add(self, path: _Path, text: str) -> None:
        field = '.'.join(str(part) for part in path) or 'trace'
        line = _line_of(self._root, path)
        self.problems.append(TraceProblem(self._file, line, field, text))


def _path_of(refusal: Refusal) -> _Path:
    parts = (refusal.field or '').split('.')
    return tuple(int(part) if part.isdigit() else part for part in parts)


def _cause_of(error: yaml.YAMLError) -> str:
    return str(getattr(error, 'problem', error))


def _line_of(root: yaml.Node | None, path: _Path) -> int:
    """Return the line of the innermost part of `path` that the file has."""
    node = root
    line = 1
    for part in path:
        for key, child, key_line in _children(node):
            if key == part:
                line = key_line + 1
                node = child
                break
    return line


def _children(
    node: yaml.Node | None,
) -> list[tuple[int | str, yaml.Node, int]]:
    if isinstance(node, yaml.SequenceNode):
        return [
            (index, child, int(child.start_mark.line))
            for index, child in enumerate(node.value)
        ]
    if isinstance(node, yaml.MappingNode):
        return [
            (key.value, child, int(key.start_mark.line))
            for key, child in node.value
        ]
    return []
