"""Structured logs as JSON lines on standard output.

Writing never blocks: lines that a slow reader leaves no room for are dropped
and counted, and the count is written once there is room again.
"""

import contextlib
import logging
import os
import sys
from typing import Any

import structlog

__all__ = ["LineWriter", "configure_logging", "get_logger"]

_SHARED: list = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso"),
    structlog.processors.format_exc_info,
]


# Bytes that wait for a slow reader before lines are dropped.
_MAX_WAITING_BYTES = 256 << 10


class LineWriter:
    """Write lines to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._waiting = b""
        self.dropped = 0
        # Regular files and some devices have no such mode and never block.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write what fits; keep the rest, or drop it if too much waits."""
        data = text.encode(errors="replace")
        if len(self._waiting) + len(data) > _MAX_WAITING_BYTES:
            self._write_out()
        if len(self._waiting) + len(data) > _MAX_WAITING_BYTES:
            self.dropped += 1
            return
        if self.dropped and not self._waiting:
            note = f'{{"event": "log lines dropped", "lines": {self.dropped}}}\n'
            self._waiting = note.encode()
            self.dropped = 0
        self._waiting += data
        self._write_out()

    def flush(self) -> None:
        """Write what fits now."""
        self._write_out()

    def _write_out(self) -> None:
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                self._waiting = self._waiting[written:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, so there is nowhere left to say so.
            self._waiting = b""


def configure_logging(level: str, process: str, zone: str) -> None:
    """Send every log line as JSON to standard output.

    Lines of libraries are included from the level warning on, so that no
    line breaks the format.
    """
    structlog.configure(
        processors=[*_SHARED, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(_writer()),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process, zone=zone)
    _set_up_library_logs()


def _writer() -> Any:
    """Return the one writer of the process."""
    global _line_writer
    if _line_writer is None:
        _line_writer = LineWriter(sys.stdout.fileno())
    return _line_writer


_line_writer: LineWriter | None = None


def _set_up_library_logs() -> None:
    formatter = structlog.stdlib.ProcessorFormatter(
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(),
        ],
        foreign_pre_chain=_SHARED,
    )
    handler = logging.StreamHandler(_writer())
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Return a logger whose lines carry the component ``name``."""
    return structlog.get_logger(component=name)
