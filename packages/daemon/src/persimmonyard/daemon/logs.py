"""Structured logs as JSON lines on standard error."""

import logging
import sys

import structlog

__all__ = ["get_logger", "set_up_logs"]


def set_up_logs(level: str, process: str, zone: str) -> None:
    """Send every log line as JSON to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(process=process, zone=zone)


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Return a logger whose lines carry the component ``name``."""
    return structlog.get_logger(component=name)
