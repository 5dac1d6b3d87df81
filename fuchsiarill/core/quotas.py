"""Quota, guarantee and weighted share of each customer."""

from fuchsiarill.cell_config import CellConfig, Contract
from fuchsiarill.core.accounts import Account
from fuchsiarill.core.state import CoreState
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NOTHING, Resources


def account_of(state: CoreState, customer: CustomerId) -> Account:
    """Return the account of a customer, new if there is none."""
    account = state.accounts.get(customer)
    if account is None:
        account = Account(customer, None)
        state.accounts[customer] = account
    return account


def apply_contracts(state: CoreState) -> None:
    """Apply the contracts of the configuration in force."""
    config = state.config
    state.weights_sum = sum(row.weight for row in config.contracts) or 1.0
    contracts = {row.customer: row for row in config.contracts}
    for known in state.accounts.values():
        _apply_contract(known, contracts.get(known.customer), config)
    for customer, contract in contracts.items():
        if customer in state.accounts:
            continue
        account = account_of(state, customer)
        account.tokens = contract.submit_burst_count
        _apply_contract(account, contract, config)
    state.sizes_version += 1
    refresh_shares(state)


def refresh_shares(state: CoreState) -> None:
    """Compute the shares again after a change of capacity or weights."""
    for account in state.accounts.values():
        account.share = share_of(state, account)


def share_of(state: CoreState, account: Account) -> float:
    """Return the dominant share of a customer, divided by its weight."""
    held = account.held.dominant_share(state.total_capacity)
    return held / _weight_of(account)


def may_hold(account: Account, more: Resources) -> bool:
    """Tell whether the quota permits `more` reservations."""
    return (account.held + more).fits_in(account.quota)


def is_guaranteed(account: Account, more: Resources) -> bool:
    """Tell whether the guarantee of the contract covers `more`."""
    if not account.guaranteed.slots_count:
        return False
    return (account.held + more).fits_in(account.guaranteed)


def is_owed_urgently(
    state: CoreState,
    account: Account,
    more: Resources,
) -> bool:
    """Tell whether urgent jobs are within the guarantee or weighted share.

    Reservations of the customer for other jobs are not counted, as urgent jobs
    come first.
    """
    wanted = account.urgent_held + more
    if wanted.fits_in(account.guaranteed):
        return True
    return wanted.dominant_share(state.total_capacity) <= _entitled_share(
        state, account
    )


def is_within_share(
    state: CoreState,
    account: Account,
    more: Resources,
) -> bool:
    """Tell whether all reservations are within guarantee or share."""
    if is_guaranteed(account, more):
        return True
    wanted = account.held - account.reclaimed + more
    return wanted.dominant_share(state.total_capacity) <= _entitled_share(
        state, account
    )


def borrows(account: Account) -> bool:
    """Tell whether the customer holds more than its guarantee."""
    left = account.held - account.reclaimed
    return not left.fits_in(account.guaranteed)


def _apply_contract(
    account: Account,
    contract: Contract | None,
    config: CellConfig,
) -> None:
    account.contract = contract
    if contract is None:
        account.quota = NOTHING
        account.guaranteed = NOTHING
        return
    count = _partitions_count(config, contract)
    account.quota = _divide(contract.quota.as_resources(), count)
    account.guaranteed = _divide(contract.guaranteed.as_resources(), count)


def _partitions_count(config: CellConfig, contract: Contract) -> int:
    for region in config.regions:
        if region.name == contract.region:
            return region.partitions_count
    return 1


def _divide(amounts: Resources, count: int) -> Resources:
    # Rounded down, so that the shares of all partitions never exceed the
    # quota of the contract.
    return Resources(*(amount // count for amount in amounts.as_tuple()))


def _entitled_share(state: CoreState, account: Account) -> float:
    return _weight_of(account) / state.weights_sum


def _weight_of(account: Account) -> float:
    return 1.0 if account.contract is None else account.contract.weight
