"""The trace format: YAML that is validated with pydantic.

Problems are reported with file, line and field. `docs/TRACES.md` describes the
format for people who write traces.
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
    read_deployment,
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
_RawEntry = dict[str, Any] | str

_TIMING_FIELDS: Final = frozenset(('at_ms', 'for_ms'))


class _TraceFile(TraceModel):
    """Top level of a trace file; the models of the kinds check entries."""

    about: str
    proves: tuple[str, ...] = ()
    deployment: str | dict[str, Any] = 'small'
    processes_count: _Positive = 3
    process_domains: tuple[str, ...] = ()
    seed: int = 1
    duration_ms: _Positive
    settings: dict[str, Any] = Field(default_factory=dict)
    config: dict[str, Any] = Field(default_factory=dict)
    events: tuple[_RawEntry, ...] = ()
    faults: tuple[_RawEntry, ...] = ()
    outcomes: tuple[_RawEntry, ...]


class _Timing(TraceModel):
    at_ms: _Time
    for_ms: _Positive | None = None


@dataclass(frozen=True, slots=True)
class TimedEntry(Generic[_Kind]):
    """An event or a fault with its time; `for_ms` is a fault's duration."""

    at_ms: int
    name: str
    kind: _Kind
    for_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TraceEntry(Generic[_Kind]):
    """An entry of a trace file: the name of its kind and its parameters."""

    name: str
    kind: _Kind


@dataclass(frozen=True, slots=True)
class Trace:
    """A trace that passed validation."""

    name: str
    header: _TraceFile
    deployment: Deployment
    domains: tuple[str, ...]
    events: tuple[TimedEntry[EventKind], ...]
    faults: tuple[TimedEntry[FaultKind], ...]
    outcomes: tuple[TraceEntry[OutcomeKind], ...]


@dataclass(frozen=True, slots=True)
class TraceProblem:
    """A problem in a trace file, with its place."""

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        return f'{self.file}:{self.line}: {self.field}: {self.text}'


def load_trace(path: Path) -> Result[Trace, tuple[TraceProblem, ...]]:
    """Read and validate a trace file; raises `OSError`."""
    return parse_trace(str(path), path.read_text())


def parse_trace(
    file: str,
    text: str,
) -> Result[Trace, tuple[TraceProblem, ...]]:
    """Validate a trace; a failure holds every problem found."""
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
    """Validates one document and collects its problems."""

    def __init__(self, file: str, root: yaml.Node | None) -> None:
        """Keep the YAML nodes to find line numbers."""
        self.problems: list[TraceProblem] = []
        self._file = file
        self._root = root

    def read(self, document: Any) -> Trace | None:
        """Return the trace, or `None` when there are problems."""
        header = self._validate(_TraceFile, document, ())
        if header is None:
            return None
        deployment = self._read_deployment(header)
        events = self._read_timed_entries(header.events, EVENT_KINDS, 'events')
        faults = self._read_timed_entries(header.faults, FAULT_KINDS, 'faults')
        outcomes = self._read_outcomes(header.outcomes)
        if deployment is None:
            return None
        domains = header.process_domains or deployment.domains
        sample = process_settings('p1', domains[0], deployment, header.settings)
        self._validate(ProcessSettings, sample, ('settings',))
        if self.problems:
            return None
        return Trace(
            Path(self._file).stem,
            header,
            deployment,
            tuple(
                domains[number % len(domains)]
                for number in range(header.processes_count)
            ),
            tuple(events),
            tuple(faults),
            tuple(outcomes),
        )

    def _read_deployment(self, header: _TraceFile) -> Deployment | None:
        document = header.deployment
        if isinstance(document, str):
            known = named_deployments()
            if document not in known:
                self._add_problem(('deployment',), f'is not one of {known}')
                return None
            document = read_deployment(document)
        merged = dict(document)
        merged['config'] = merge(document.get('config', {}), header.config)
        deployment = self._validate(Deployment, merged, ('deployment',))
        if deployment is not None:
            self._check_config(deployment)
        return deployment

    def _check_config(self, deployment: Deployment) -> None:
        """Apply the checks that an operator's configuration has to pass."""
        match parse_config(config_text(deployment.config)):
            case Failure(refusals):
                for refusal in refusals:
                    # Drops the line number, which counts lines of the merged
                    # configuration and not of the trace file.
                    _, _, text = refusal.text.partition(': ')
                    self._add_problem(('config', *_path_of(refusal)), text)

    def _read_timed_entries(
        self,
        entries: tuple[_RawEntry, ...],
        registry: Registry[str, type[_Kind]],
        section: str,
    ) -> list[TimedEntry[_Kind]]:
        parsed_entries = []
        for index, entry in enumerate(entries):
            path = (section, index)
            if isinstance(entry, str):
                self._add_problem(path, 'needs at_ms')
                continue
            timing_fields = {
                name: entry[name] for name in entry if name in _TIMING_FIELDS
            }
            kind_fields = {
                name: entry[name] for name in entry if name not in timing_fields
            }
            timing = self._validate(_Timing, timing_fields, path)
            parsed = self._read_entry(kind_fields, registry, path)
            if timing is not None and parsed is not None:
                parsed_entries.append(
                    TimedEntry(
                        timing.at_ms,
                        parsed.name,
                        parsed.kind,
                        timing.for_ms,
                    ),
                )
        return parsed_entries

    def _read_outcomes(
        self,
        entries: tuple[_RawEntry, ...],
    ) -> list[TraceEntry[OutcomeKind]]:
        parsed_entries = []
        for index, entry in enumerate(entries):
            mapping = {entry: {}} if isinstance(entry, str) else entry
            parsed = self._read_entry(
                mapping, OUTCOME_KINDS, ('outcomes', index)
            )
            if parsed is not None:
                parsed_entries.append(parsed)
        return parsed_entries

    def _read_entry(
        self,
        entry: dict[str, Any],
        registry: Registry[str, type[_Kind]],
        path: _Path,
    ) -> TraceEntry[_Kind] | None:
        if len(entry) != 1:
            self._add_problem(
                path, f'needs exactly one kind, found {sorted(entry)}'
            )
            return None
        name, fields = next(iter(entry.items()))
        if name not in registry:
            self._add_problem((*path, name), f'is not one of {list(registry)}')
            return None
        kind = self._validate(
            registry.lookup(name),
            {} if fields is None else fields,
            (*path, name),
        )
        return None if kind is None else TraceEntry(name, kind)

    def _validate(
        self,
        model: type[_Model],
        document: Any,
        path: _Path,
    ) -> _Model | None:
        try:
            return model.model_validate(document)
        except ValidationError as invalid:
            for error in invalid.errors():
                self._add_problem((*path, *error['loc']), error['msg'])
        return None

    def _add_problem(self, path: _Path, text: str) -> None:
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
