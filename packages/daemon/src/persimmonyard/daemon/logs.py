"""Structured logs as JSON lines on standard error."""

import logging
import sys

import structlog

__all__ = ["get_logger", "set_up_logs"]

_SHARED: list = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso"),
    structlog.processors.format_exc_info,
]


def set_up_logs(level: str, process: str, zone: str) -> None:
    """Send every log line as JSON to standard error.

    Lines of libraries are included from the level warning on, so that no
    line breaks the format.
    """
    structlog.configure(
        processors=[*_SHARED, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(process=process, zone=zone)
    _set_up_library_logs()


def _set_up_library_logs() -> None:
    formatter = structlog.stdlib.ProcessorFormatter(
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(),
        ],
        foreign_pre_chain=_SHARED,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Return a logger whose lines carry the component ``name``."""
    return structlog.get_logger(component=name)
