"""Calendars and replicas of the documents for tests."""

from datetime import UTC, date, datetime
from typing import Any, cast

import msgspec

from tests.support.stand_ins import StandInState
from weldhead.calendars.binding import CALENDAR_KIND
from weldhead.calendars.calendar_document import Calendar
from weldhead.controller.configuration.calendar_binder import CalendarBinder
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.documents.editions import plan_publication
from weldhead.documents.records import DocumentSet
from weldhead.transport.state_client import StateClient

S = 1_000_000


def calendar(**changes: Any) -> Calendar:
    """Return a calendar that binds jobs of class "balance" to 06:30 of each day in Zagreb."""
    values: dict[str, Any] = {
        "name": "morning", "zone": "Europe/Zagreb", "rule": "FREQ=DAILY",
        "first_day": date(2026, 1, 1), "hour": "06:30", "classes": ["balance"],
    }  # fmt: skip
    return Calendar(**(values | changes))


def utc_us(text: str) -> int:
    """Return a time in UTC, given in the format of ISO 8601, as microseconds."""
    return round(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()) * S


def open_replica(state: StandInState, offer: DocumentSet | None = None) -> DocumentReplica:
    """Return a controller's replica of the documents in a store, with a calendar binder."""

    async def send_nothing(kind: str, job_id: str, body: bytes) -> None:
        return None

    documents = DocumentReplica(cast(StateClient, state), offer, send_nothing)
    CalendarBinder(documents, S)
    return documents


def put_edition(state: StandInState, document: Calendar, edition: int) -> None:
    """Write an edition of the documents that consists of one calendar."""
    offer = DocumentSet(
        edition, {f"{CALENDAR_KIND}/{document.name}": msgspec.Raw(msgspec.json.encode(document))}
    )
    for step in plan_publication(offer, [], 9):
        for key, value in step.items():
            state.put(key, value)
