"""Limits of the gRPC messages between the processes of the system."""

__all__ = ["MAX_MESSAGE_BYTES"]

# The largest log entry holds the answers of a gang: 256 answers of
# 65,536 bytes.
MAX_MESSAGE_BYTES = 32 << 20
