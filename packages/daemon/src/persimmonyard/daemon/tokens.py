"""Tokens of client accounts, operators and upstreams."""

import hashlib
import hmac

__all__ = ["TokenIndex", "hash_token"]


def hash_token(token: str) -> str:
    """Return the hash under which a token is kept.

    Tokens are long random strings, so a plain SHA-256 resists guessing.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


class TokenIndex:
    """Find the owner of a token among many hashes.

    A look-up costs one hash of the token and one comparison, however many
    hashes there are.  The dictionary is searched with half of the digest;
    the time that this takes tells nothing useful about a token, because an
    attacker cannot choose the digest.  The whole digest is then compared in
    constant time.
    """

    _PREFIX = 32

    def __init__(self) -> None:
        self._owners_by_prefix: dict[str, list[tuple[str, str]]] = {}

    def add(self, digest: str, owner: str) -> None:
        """Let the token with the hash ``digest`` belong to ``owner``."""
        owners = self._owners_by_prefix.setdefault(digest[: self._PREFIX], [])
        owners.append((digest, owner))

    def owner_of(self, token: str) -> str | None:
        """Return the owner of a token, or ``None``."""
        digest = hash_token(token)
        found = None
        for known, owner in self._owners_by_prefix.get(digest[: self._PREFIX], ()):
            if hmac.compare_digest(digest, known) and found is None:
                found = owner
        return found
