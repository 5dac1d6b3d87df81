"""Reads YAML documents and reports each problem with its line and field.

Cell configuration and process settings are both read here, so that operators
see messages of the same form for either.
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
_NESTING_DEPTH_MAX: Final = 20

# libyaml reads 1,600 lines about eight times as fast as the Python loader.
_LOADER: Final[Any] = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

FieldPath = tuple[Any, ...]
_Model = TypeVar('_Model', bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a document; `line` counts from 1."""

    line: int
    field: str
    text: str

    @property
    def sentence(self) -> str:
        """Return `line N: FIELD: TEXT`, the form that operators read."""
        location = f'line {self.line}'
        if self.field:
            location = f'{location}: {self.field}'
        return f'{location}: {self.text}'


class YamlDocument:
    """A document with valid syntax, with the line of each field."""

    def __init__(self, root: yaml.Node | None, content: Any) -> None:
        """Create a document from its node tree and its plain content."""
        self.content = content
        self._root = root

    def problem(self, path: FieldPath, text: str) -> Problem:
        """Return a problem of the field at `path`."""
        field = '.'.join(str(part) for part in path)
        return Problem(self._line_of(path), field, text)

    def repeated_keys(self) -> Iterator[Problem]:
        """Yield a problem for each repeated key.

        The YAML loader would silently keep only the last value.
        """
        pending_nodes: list[tuple[FieldPath, yaml.Node | None]] = [
            ((), self._root)
        ]
        while pending_nodes:
            path, node = pending_nodes.pop()
            if node is None:
                continue
            yield from _repeated_key_problems(path, node)
            pending_nodes.extend(_child_paths(path, node))

    def check_model(
        self,
        model: type[_Model],
    ) -> Result[_Model, tuple[Problem, ...]]:
        """Build the model from the content; fails with every problem."""
        try:
            return Success(build_strictly(model, self.content))
        except ValidationError as validation_error:
            problems = [
                self.problem(error['loc'], error['msg'])
                for error in validation_error.errors()
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
        return _line_of_mark(node.start_mark)


def build_strictly(model: type[_Model], content: Any) -> _Model:
    """Build a model without converting strings or booleans to numbers.

    Validation of JSON accepts lists for tuples and strings for `Enum` members,
    which the strict mode refuses for Python objects. Raises `ValidationError`.
    """
    encoded = json.dumps(content, default=str)
    return model.model_validate_json(encoded, strict=True)


def read_yaml(
    text: str,
    size_max_bytes: int,
) -> Result[YamlDocument, tuple[Problem, ...]]:
    """Read one document without checking it against a model.

    Fails on invalid syntax, excess size or depth, an alias or a repeated key.
    """
    try:
        size_bytes = len(text.encode())
    except UnicodeEncodeError as error:
        return _single_problem(1, error.reason)
    if size_bytes > size_max_bytes:
        return _single_problem(
            1,
            texts.TOO_LARGE.format(
                size_bytes=size_bytes,
                limit_bytes=size_max_bytes,
            ),
        )
    try:
        return _read_document(text)
    except yaml.MarkedYAMLError as error:
        line = _line_of_mark(error.problem_mark or error.context_mark)
        return _single_problem(line, error.problem or str(error))
    except (yaml.YAMLError, ValueError) as error:
        return _single_problem(1, ' '.join(str(error).split()))


def _read_document(text: str) -> Result[YamlDocument, tuple[Problem, ...]]:
    depth = 0
    for event in yaml.parse(text, Loader=_LOADER):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        line = _line_of_mark(event.start_mark)
        if depth > _NESTING_DEPTH_MAX:
            return _single_problem(
                line, texts.TOO_DEEP.format(limit=_NESTING_DEPTH_MAX)
            )
        if isinstance(event, yaml.AliasEvent):
            # A few nested aliases expand to billions of values.
            return _single_problem(line, texts.ALIAS)
    loader = _LOADER(text)
    try:
        root = loader.get_single_node()
        content = None if root is None else loader.construct_document(root)
    finally:
        loader.dispose()
    document = YamlDocument(root, content)
    key_problems = tuple(document.repeated_keys())
    return Failure(key_problems) if key_problems else Success(document)


def _line_of_mark(mark: Any) -> int:
    """Return the line of a mark, counted from 1."""
    return 1 if mark is None else int(mark.line) + 1


def _single_problem(
    line: int,
    text: str,
) -> Result[YamlDocument, tuple[Problem, ...]]:
    return Failure((Problem(line, '', text),))


def _repeated_key_problems(
    path: FieldPath, node: yaml.Node
) -> Iterator[Problem]:
    if not isinstance(node, yaml.MappingNode):
        return
    seen_names: set[str] = set()
    for key, _child in node.value:
        name = str(key.value)
        if name in seen_names:
            field = '.'.join(str(part) for part in (*path, name))
            line = _line_of_mark(key.start_mark)
            yield Problem(line, field, texts.REPEATED_KEY)
        seen_names.add(name)


def _child_paths(
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
