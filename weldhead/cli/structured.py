"""Structured logs of the local site: one JSON object per line, on standard error.

Each object has ``timestamp`` (UTC), ``level``, ``logger``, ``event`` (the text), and the fields of
the record's ``extra``. Fields whose names end in ``_us`` are times in whole microseconds.
"""

import logging
import sys

from weldhead.serving import configure_logging


def configure_structured_logging() -> None:
    """Configure JSON logs at the level of ``LOG_LEVEL``; plain lines if structlog is missing."""
    configure_logging()
    try:
        import structlog
    except ImportError:
        return
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.stdlib.ExtraAdder(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
        ],
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(),
        ],
    )
    for handler in logging.getLogger().handlers:
        if isinstance(handler, logging.StreamHandler) and handler.stream is sys.stderr:
            handler.setFormatter(formatter)
