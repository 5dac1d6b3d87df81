"""Reading of YAML documents in which each problem has a line and a field.

Cell configuration and process settings are both read here, so operators see
the same form of message for either.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import yaml
from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from fuchsiarill import texts

# Deeper documents would exhaust the stack of the recursive YAML composer.
_DEPTH_MAX: Final = 20

# libyaml reads a document of 1,600 lines about eight times as fast.
_LOADER: Final[Any] = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

FieldPath = tuple[Any, ...]
_Model = TypeVar('_Model', bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document; `line` counts from 1."""

    line: int
    field: str
    text: str

    @property
    def sentence(self) -> str:
        """Return the problem as operators read it."""
        place = f'line {self.line}'
        if self.field:
            place = f'{place}: {self.field}'
        return f'{place}: {self.text}'


class YamlDocument:
    """A document whose syntax is right, with the lines of its fields."""

    def __init__(self, root: yaml.Node | None, content: Any) -> None:
        """Keep the node tree beside the plain content."""
        self.content = content
        self._root = root

    def problem(self, path: FieldPath, text: str) -> Problem:
        """Return a problem of the field at `path`."""
        field = '.'.join(str(part) for part in path)
        return Problem(self._line_of(path), field, text)

    def repeated_keys(self) -> Iterator[Problem]:
        """Find keys that occur twice; YAML would keep the last silently."""
        pending: list[tuple[FieldPath, yaml.Node | None]] = [((), self._root)]
        while pending:
            path, node = pending.pop()
            if node is None:
                continue
            yield from _repeated(path, node)
            pending.extend(_children(path, node))

    def check_model(
        self,
        model: type[_Model],
    ) -> Result[_Model, tuple[Problem, ...]]:
        """Build the model from the content; fails with every problem."""
        try:
            return Success(build_strictly(model, self.content))
        except ValidationError as invalid:
            problems = [
                self.problem(found['loc'], found['msg'])
                for found in invalid.errors()
            ]
            problems.sort(key=lambda problem: problem.line)
            return Failure(tuple(problems))

    def _line_of(self, path: FieldPath) -> int:
        if self._root is None:
            return 1
        node = self._root
        for part in path:
            child = dict(_keyed_children(node)).get(part)
            if child is None:
                break
            node = child
        return _line(node.start_mark)


def build_strictly(model: type[_Model], content: Any) -> _Model:
    """Build a model without converting text or truth values to numbers.

    The way through JSON lets lists become tuples and texts `Enum` members,
    which pydantic refuses for Python objects. Raises `ValidationError`.
    """
    encoded = json.dumps(content, default=str)
    return model.model_validate_json(encoded, strict=True)


def read_yaml(
    text: str,
    size_max_bytes: int,
) -> Result[YamlDocument, tuple[Problem, ...]]:
    """Read one document; fails on faults of syntax, size and depth."""
    try:
        size_bytes = len(text.encode())
    except UnicodeEncodeError as error:
        return _one_problem(1, error.reason)
    if size_bytes > size_max_bytes:
        return _one_problem(
            1,
            texts.TOO_LARGE.format(
                size_bytes=size_bytes,
                limit_bytes=size_max_bytes,
            ),
        )
    try:
        return _read_checked(text)
    except yaml.MarkedYAMLError as error:
        line = _line(error.problem_mark or error.context_mark)
        return _one_problem(line, error.problem or str(error))
    except (yaml.YAMLError, ValueError) as error:
        return _one_problem(1, ' '.join(str(error).split()))


def _read_checked(text: str) -> Result[YamlDocument, tuple[Problem, ...]]:
    depth = 0
    for event in yaml.parse(text, Loader=_LOADER):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        line = _line(event.start_mark)
        if depth > _DEPTH_MAX:
            return _one_problem(line, texts.TOO_DEEP.format(limit=_DEPTH_MAX))
        if isinstance(event, yaml.AliasEvent):
            # A few nested aliases expand to billions of values.
            return _one_problem(line, texts.ALIAS)
    loader = _LOADER(text)
    try:
        root = loader.get_single_node()
        content = None if root is None else loader.construct_document(root)
    finally:
        loader.dispose()
    document = YamlDocument(root, content)
    repeated = tuple(document.repeated_keys())
    return Failure(repeated) if repeated else Success(document)


def _line(mark: Any) -> int:
    """Return the line of a mark, counted from 1."""
    return 1 if mark is None else int(mark.line) + 1


def _one_problem(
    line: int,
    text: str,
) -> Result[YamlDocument, tuple[Problem, ...]]:
    return Failure((Problem(line, '', text),))


def _repeated(path: FieldPath, node: yaml.Node) -> Iterator[Problem]:
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, _child in node.value:
        name = str(key.value)
        if name in seen:
            field = '.'.join(str(part) for part in (*path, name))
            line = _line(key.start_mark)
            yield Problem(line, field, texts.REPEATED_KEY)
        seen.add(name)


def _children(
    path: FieldPath,
    node: yaml.Node,
) -> Iterable[tuple[FieldPath, yaml.Node]]:
    return [((*path, part), child) for part, child in _keyed_children(node)]


def _keyed_children(node: yaml.Node) -> Iterable[tuple[Any, yaml.Node]]:
    if isinstance(node, yaml.SequenceNode):
        return list(enumerate(node.value))
    if isinstance(node, yaml.MappingNode):
        return [(key.value, child) for key, child in node.value]
    return []
