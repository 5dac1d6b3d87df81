"""The example settings are valid and consistent with each other."""

import hashlib

import pytest
import yaml

from fuchsiarill.cell_config import parse_config
from fuchsiarill.core.placement import PLACEMENTS
from fuchsiarill.resources import NO_RESOURCES
from fuchsiarill.settings import ProcessSettings
from tools.deployment import EXAMPLES, load_deployment

_NAMES = ('frostwick', 'cooperative')


@pytest.mark.parametrize('name', _NAMES)
def test_example_fits_its_workers(name: str) -> None:
    """Guards against guarantees or quotas above the workers' capacity."""
    deployment = load_deployment(EXAMPLES / f'{name}-hosts.yaml')
    text = (EXAMPLES / deployment.configuration).read_text()
    config = parse_config(text).unwrap()
    shapes = [
        deployment.shapes[rack.shape].as_resources()
        for _, rack in deployment.workers()
    ]
    capacity = sum(shapes, start=NO_RESOURCES)
    guarantees = [
        contract.guaranteed.as_resources() for contract in config.contracts
    ]
    assert sum(guarantees, start=NO_RESOURCES).fits_in(capacity)
    for contract in config.contracts:
        assert contract.placement in PLACEMENTS
        assert contract.guaranteed.as_resources().fits_in(
            contract.quota.as_resources(),
        )
        assert contract.quota.as_resources().fits_in(capacity)
    assert len(shapes) == 25
    assert deployment.region in {region.name for region in config.regions}


@pytest.mark.parametrize('name', _NAMES)
def test_demo_tokens_are_those_of_the_example(name: str) -> None:
    """Guards against demo tokens that don't match the configured digests."""
    deployment = load_deployment(EXAMPLES / f'{name}-hosts.yaml')
    text = (EXAMPLES / deployment.configuration).read_text()
    config = parse_config(text).unwrap()
    digests = {'operator': config.operator_token_sha256}
    for contract in config.contracts:
        digests[contract.customer] = contract.token_sha256
    assert digests == {
        caller: hashlib.sha256(token.encode()).hexdigest()
        for caller, token in deployment.tokens.items()
    }


def test_daemon_settings_are_valid() -> None:
    """Guards against example settings with which the daemon does not start."""
    text = (EXAMPLES / 'fuchsiarilld.yaml').read_text()
    settings = ProcessSettings.model_validate(yaml.safe_load(text))
    assert settings.process == 'pour-hall-1'
