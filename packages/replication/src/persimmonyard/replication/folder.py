"""Durable file replacement, and the identity file of a data folder."""

import os
import secrets
import zlib
from collections.abc import Iterable
from pathlib import Path

import msgspec

from persimmonyard.replication.errors import LogDamagedError, refused_writes
from persimmonyard.replication.messages import Members

__all__ = [
    "FIRST_INCARNATION",
    "Identity",
    "check_writable",
    "initialize",
    "load_identity",
    "replace_file",
    "sync_folder",
]

# The incarnation of all first members of a new group.  It is a constant
# because each folder is initialized on its own instance, before the members
# can exchange random incarnations.
FIRST_INCARNATION = "0"

_IDENTITY = "identity"
_LOG = "log"
_PROBE = "probe"
_PROBE_BYTES = 65_536


class Identity(msgspec.Struct, frozen=True):
    """Owner and incarnation of a data folder, and the first members."""

    replica_id: str
    incarnation: str
    members: Members = Members()


def sync_folder(folder: Path) -> None:
    """Make the creation, renaming and removal of files in a folder durable."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def replace_file(path: Path, parts: Iterable[bytes]) -> None:
    """Replace the file at ``path`` atomically and durably.

    Raises ``WriteRefusedError`` if the new file cannot be written; the old
    one is intact then.
    """
    temporary_path = path.with_name(path.name + ".new")
    try:
        with refused_writes():
            _write_synced(temporary_path, parts)
    except OSError:
        temporary_path.unlink(missing_ok=True)
        raise
    os.rename(temporary_path, path)
    sync_folder(path.parent)


def _write_synced(path: Path, parts: Iterable[bytes]) -> None:
    with open(path, "wb") as file:
        for part in parts:
            file.write(part)
        file.flush()
        os.fsync(file.fileno())


def check_writable(folder: Path) -> None:
    """Write, sync and remove a file of the size of a large log frame.

    Raises ``WriteRefusedError`` if the file system refuses it.
    """
    path = folder / _PROBE
    try:
        with refused_writes():
            _write_synced(path, [bytes(_PROBE_BYTES)])
    finally:
        path.unlink(missing_ok=True)


def initialize(folder: Path, replica_id: str, address_by_name: dict[str, str]) -> None:
    """Initialize the data folder of a first member of a new group.

    Raises ``FileExistsError`` if the folder holds a replica already.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / _IDENTITY).exists() or (folder / _LOG).exists():
        raise FileExistsError(f"{folder.name} holds a replica already")
    voters = dict.fromkeys(sorted(address_by_name), FIRST_INCARNATION)
    members = Members(voters, {}, address_by_name)
    _write_identity(folder, Identity(replica_id, FIRST_INCARNATION, members))


def load_identity(folder: Path, replica_id: str) -> Identity:
    """Return the identity of the folder.

    An empty folder gets an identity with a random incarnation.  Raises
    ``LogDamagedError`` if a file is missing or damaged, or if the folder
    belongs to another replica.
    """
    path = folder / _IDENTITY
    if not path.exists():
        folder.mkdir(parents=True, exist_ok=True)
        for name in (_LOG, "snapshot"):
            if (folder / name).exists() and (folder / name).stat().st_size:
                raise LogDamagedError(f"{name} exists without an identity")
        _write_identity(folder, Identity(replica_id, secrets.token_hex(8)))
    data = path.read_bytes()
    if len(data) < 4 or zlib.crc32(data[4:]) != int.from_bytes(data[:4], "little"):
        raise LogDamagedError("identity: bad checksum")
    identity = msgspec.json.decode(data[4:], type=Identity)
    if identity.replica_id != replica_id:
        raise LogDamagedError(f"the folder belongs to {identity.replica_id!r}")
    if not (folder / _LOG).exists():
        raise LogDamagedError("log: the file is missing")
    return identity


def _write_identity(folder: Path, identity: Identity) -> None:
    """Create an empty log, then the identity file.

    The identity comes last, so that an interrupted call leaves no identity
    without a log.
    """
    replace_file(folder / _LOG, [])
    body = msgspec.json.encode(identity)
    checksum = zlib.crc32(body).to_bytes(4, "little")
    replace_file(folder / _IDENTITY, [checksum, body])
