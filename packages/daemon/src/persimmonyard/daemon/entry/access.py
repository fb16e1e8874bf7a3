"""Who holds a token: settings, and the configuration under its lease."""

from typing import NamedTuple

from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.settings import AccessSettings
from persimmonyard.daemon.tokens import TokenIndex
from persimmonyard.model import AccessRole

__all__ = ["AccessTable", "Holder"]


class Holder(NamedTuple):
    """A role and the name of the account that has it."""

    role: AccessRole
    name: str


class AccessTable:
    """Find the holder of a token."""

    def __init__(self, settings: AccessSettings, state: LocalState):
        self._state = state
        self._fixed = TokenIndex()
        for digest in settings.operator_token_hashes:
            self._fixed.add(digest, AccessRole.OPERATOR)
        for digest in settings.upstream_token_hashes:
            self._fixed.add(digest, AccessRole.UPSTREAM)

    def holder_of(self, token: str) -> Holder | None:
        """Return the holder; accounts count only under a valid lease."""
        fixed = self._fixed.owner_of(token)
        if fixed is not None:
            return Holder(AccessRole(fixed), fixed)
        if not self._state.lease_valid():
            return None
        account = self._state.account_for(token)
        if account is None:
            return None
        return Holder(account.role, account.name)
