"""Lookup of the tokens of client accounts, operators and upstreams."""

import hashlib
import hmac

__all__ = ["TokenIndex", "hash_token"]


def hash_token(token: str) -> str:
    """Return the SHA-256 hex digest under which a token is stored.

    Tokens are long random strings, so an unsalted hash resists guessing.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


class TokenIndex:
    """Finds the owner of a token among many hashes.

    A lookup costs one hash of the token and one comparison, however many
    hashes there are.  The dictionary is keyed by the first half of the digest.
    The time of the dictionary lookup reveals nothing useful about a token,
    because an attacker cannot choose the digest.  The whole digest is then
    compared in constant time.
    """

    _PREFIX_LENGTH = 32

    def __init__(self) -> None:
        self._entries_by_prefix: dict[str, list[tuple[str, str]]] = {}

    def add(self, digest: str, owner: str) -> None:
        """Add the owner of the token whose hash is ``digest``."""
        entries = self._entries_by_prefix.setdefault(digest[: self._PREFIX_LENGTH], [])
        entries.append((digest, owner))

    def owner_of(self, token: str) -> str | None:
        """Return the owner of a token, or ``None``."""
        digest = hash_token(token)
        found_owner = None
        for stored_digest, owner in self._entries_by_prefix.get(
            digest[: self._PREFIX_LENGTH], ()
        ):
            if hmac.compare_digest(digest, stored_digest) and found_owner is None:
                found_owner = owner
        return found_owner
