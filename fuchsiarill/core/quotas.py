"""Quota, guarantee and weighted share of each customer.

The quota limits what a customer reserves. Up to its guarantee, a customer may
reclaim capacity from customers that borrow, i.e. exceed their own guarantees.
The weighted share of a customer is the part of the total capacity in proportion
to its weight; urgent jobs may reclaim capacity up to this share as well.
"""

from fuchsiarill.cell_config import CellConfig, Contract
from fuchsiarill.contracts import shares
from fuchsiarill.core.accounts import Account
from fuchsiarill.core.state import CoreState
from fuchsiarill.ids import CustomerId
from fuchsiarill.resources import NO_RESOURCES, Resources


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
    state.weights_sum = (
        sum(contract.weight for contract in config.contracts) or 1.0
    )
    contracts = {contract.customer: contract for contract in config.contracts}
    for known_account in state.accounts.values():
        _apply_contract(
            known_account, contracts.get(known_account.customer), config
        )
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
    return shares.weighted_share(
        account.reserved, state.total_capacity, _weight_of(account)
    )


def quota_permits(account: Account, additional: Resources) -> bool:
    """Tell whether the quota permits `additional` to be reserved."""
    return (account.reserved + additional).fits_in(account.quota)


def is_guaranteed(account: Account, additional: Resources) -> bool:
    """Tell whether the guarantee of the contract covers `additional`."""
    if not account.guaranteed.slots_count:
        return False
    return (account.reserved + additional).fits_in(account.guaranteed)


def is_owed_urgently(
    state: CoreState,
    account: Account,
    additional: Resources,
) -> bool:
    """Tell whether urgent jobs are within the guarantee or weighted share.

    `additional` is counted as reserved for urgent jobs. What the customer
    reserves for jobs that are not urgent is not counted, as urgent jobs come
    first.
    """
    reserved_in_total = account.urgent_reserved + additional
    if reserved_in_total.fits_in(account.guaranteed):
        return True
    return _is_entitled(state, account, reserved_in_total)


def is_within_share(
    state: CoreState,
    account: Account,
    additional: Resources,
) -> bool:
    """Tell whether all jobs are within the guarantee or weighted share.

    Attempts that are being stopped for other jobs do not count towards the
    weighted share.
    """
    if is_guaranteed(account, additional):
        return True
    reserved_in_total = account.reserved - account.being_reclaimed + additional
    return _is_entitled(state, account, reserved_in_total)


def borrows(account: Account) -> bool:
    """Tell whether the customer reserves more than its guarantee.

    Attempts that are being stopped for other jobs are not counted.
    """
    reserved_after_stops = account.reserved - account.being_reclaimed
    return not reserved_after_stops.fits_in(account.guaranteed)


def _apply_contract(
    account: Account,
    contract: Contract | None,
    config: CellConfig,
) -> None:
    account.contract = contract
    if contract is None:
        account.quota = NO_RESOURCES
        account.guaranteed = NO_RESOURCES
        return
    partitions_count = _partitions_count(config, contract)
    account.quota = _divide(contract.quota.as_resources(), partitions_count)
    account.guaranteed = _divide(
        contract.guaranteed.as_resources(), partitions_count
    )


def _partitions_count(config: CellConfig, contract: Contract) -> int:
    for region in config.regions:
        if region.name == contract.region:
            return region.partitions_count
    return 1


def _divide(amounts: Resources, partitions_count: int) -> Resources:
    # Rounded down, so that the parts of all partitions together never exceed
    # the amount in the contract.
    return Resources(
        *(amount // partitions_count for amount in amounts.as_tuple())
    )


def _is_entitled(
    state: CoreState, account: Account, reserved: Resources
) -> bool:
    return shares.is_within_share(
        reserved, state.total_capacity, _weight_of(account), state.weights_sum
    )


def _weight_of(account: Account) -> float:
    return 1.0 if account.contract is None else account.contract.weight
