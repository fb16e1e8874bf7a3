"""Tokens of client accounts, operators and upstreams."""

import hashlib
import hmac
from collections.abc import Iterable

__all__ = ["hash_token", "matches_any"]


def hash_token(token: str) -> str:
    """Return the hash under which a token is kept.

    Tokens are long random strings, so a plain SHA-256 resists guessing.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def matches_any(token: str, hashes: Iterable[str]) -> bool:
    """Return whether a token has one of the hashes, in constant time."""
    digest = hash_token(token)
    found = False
    for known in hashes:
        found |= hmac.compare_digest(digest, known)
    return found
