"""Loading refuses chart files that contradict themselves or the code."""

from pathlib import Path

import pytest
import yaml

from fuchsiarill.state_chart import ChartError, load_chart, parse_chart
from fuchsiarill.states import (
    ConfigurationEvent,
    ConfigurationState,
    ConnectionEvent,
    ConnectionState,
    ProcessEvent,
    ProcessState,
)

_CASES = yaml.safe_load(
    Path(__file__).with_name('cases').joinpath('charts.yaml').read_text(),
)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case['name'])
def test_faulty_chart_is_refused(case: dict[str, str]) -> None:
    """Guards against a fault in a chart that shows only at run time."""
    with pytest.raises(ChartError) as caught:
        parse_chart('case', case['text'], ProcessState, ProcessEvent)
    assert case['error'] in str(caught.value)


def test_shipped_charts_load() -> None:
    """Guards against a chart file that no longer matches its enums."""
    load_chart('process', ProcessState, ProcessEvent)
    load_chart('connection', ConnectionState, ConnectionEvent, ['discard'])
    load_chart(
        'configuration',
        ConfigurationState,
        ConfigurationEvent,
        ['put_in_force'],
    )
