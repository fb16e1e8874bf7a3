"""Data types, result codes and errors shared by all packages."""

from persimmonyard.model.codec import MessageCodec
from persimmonyard.model.configuration import (
    AccessRole,
    ClientAccountSpec,
    ConfigurationChange,
    WorkClassSpec,
    ZoneSpec,
)
from persimmonyard.model.result import PersimmonyardError, ResultCode, UserError
from persimmonyard.model.shape import MAX_GANG_SIZE, Adjacency, Resources, Shape
from persimmonyard.model.upstream import UpstreamSpec

__all__ = [
    "MAX_GANG_SIZE",
    "AccessRole",
    "Adjacency",
    "ClientAccountSpec",
    "ConfigurationChange",
    "MessageCodec",
    "PersimmonyardError",
    "Resources",
    "ResultCode",
    "Shape",
    "UpstreamSpec",
    "UserError",
    "WorkClassSpec",
    "ZoneSpec",
]
