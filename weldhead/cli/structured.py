"""Structured logs of the new parts: one JSON object a line, to standard error.

``timestamp`` (UTC), ``level``, ``logger`` and ``event`` (the text) are in each; what a record was
given as ``extra`` is beside them, times in whole microseconds under names with ``_us``.
"""

import logging
import sys

from weldhead.serving import configure_logging


def configure_structured_logging() -> None:
    """Log as much as ``LOG_LEVEL`` says; plain lines where structlog is not installed."""
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
