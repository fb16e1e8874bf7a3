"""Authentication of bearer tokens.

Tokens of operators and upstreams are in the settings, and those of client
accounts in the leased configuration.
"""

from typing import NamedTuple

from persimmonyard.daemon.entry.local_state import LocalState
from persimmonyard.daemon.settings import AccessSettings
from persimmonyard.daemon.tokens import TokenIndex
from persimmonyard.model import AccessRole

__all__ = ["Authenticator", "Principal"]


class Principal(NamedTuple):
    """The owner of a token.

    ``name`` is the name of the client account, or of the role for a token
    from the settings.
    """

    role: AccessRole
    name: str


class Authenticator:
    """Find the principal that a token belongs to."""

    def __init__(self, settings: AccessSettings, state: LocalState):
        self._state = state
        self._settings_token_index = TokenIndex()
        for digest in settings.operator_token_hashes:
            self._settings_token_index.add(digest, AccessRole.OPERATOR)
        for digest in settings.upstream_token_hashes:
            self._settings_token_index.add(digest, AccessRole.UPSTREAM)

    def authenticate(self, token: str) -> Principal | None:
        """Return the principal of a token, or ``None`` if it is not accepted.

        Tokens of client accounts are accepted only under a valid configuration
        lease, because the local configuration may otherwise be out of date.
        """
        role_name = self._settings_token_index.owner_of(token)
        if role_name is not None:
            return Principal(AccessRole(role_name), role_name)
        if not self._state.lease_valid():
            return None
        account = self._state.account_of_token(token)
        if account is None:
            return None
        return Principal(account.role, account.name)
