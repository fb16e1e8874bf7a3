"""Structured logs as JSON lines on standard output.

Writing never blocks.  When the buffer for a slow reader is full, lines are
dropped and counted, and the count is logged once the buffer is empty again.
"""

import contextlib
import logging
import os
import sys
from typing import Any

import structlog

__all__ = ["LineWriter", "configure_logging", "get_logger"]

_SHARED_PROCESSORS: list = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso"),
    structlog.processors.format_exc_info,
]


# Bytes buffered for a slow reader before lines are dropped.
_MAX_BUFFERED_BYTES = 256 << 10


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    ``dropped`` is the number of lines dropped since the last notice of drops.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._buffer = b""
        self.dropped = 0
        # Regular files and some devices have no non-blocking mode, but writes
        # to them never block.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, and buffer what the reader does not accept yet.

        The line is dropped if the buffer has no room for it.
        """
        data = text.encode(errors="replace")
        if len(self._buffer) + len(data) > _MAX_BUFFERED_BYTES:
            self._write_buffer()
        if len(self._buffer) + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped and not self._buffer:
            notice = f'{{"event": "log lines dropped", "lines": {self.dropped}}}\n'
            self._buffer = notice.encode()
            self.dropped = 0
        self._buffer += data
        self._write_buffer()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts now."""
        self._write_buffer()

    def _write_buffer(self) -> None:
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                self._buffer = self._buffer[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end, so the error cannot be logged.
            self._buffer = b""


def configure_logging(level: str, process: str, zone: str) -> None:
    """Configure all logging as JSON lines on standard output.

    Messages of libraries are included from level WARNING on, in the same
    format.
    """
    structlog.configure(
        processors=[*_SHARED_PROCESSORS, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(_shared_writer()),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process, zone=zone)
    _configure_library_logging()


def _shared_writer() -> Any:
    """Return the line writer that all loggers of the process share."""
    global _process_writer
    if _process_writer is None:
        _process_writer = LineWriter(sys.stdout.fileno())
    return _process_writer


_process_writer: LineWriter | None = None


def _configure_library_logging() -> None:
    formatter = structlog.stdlib.ProcessorFormatter(
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(),
        ],
        foreign_pre_chain=_SHARED_PROCESSORS,
    )
    handler = logging.StreamHandler(_shared_writer())
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Return a logger whose lines carry the component ``name``."""
    return structlog.get_logger(component=name)
