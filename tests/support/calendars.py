"""Calendars, their documents and terms."""

from datetime import UTC, date, datetime
from typing import Any, cast

import msgspec

from tests.support.stand_ins import StandInState
from weldhead.calendars.binding import KIND
from weldhead.calendars.calendar_document import Calendar
from weldhead.controller.configuration.calendar_binder import CalendarBinder
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.documents.editions import plan_publication
from weldhead.documents.records import DocumentSet
from weldhead.transport.state_client import StateClient

S = 1_000_000


def calendar(**changes: Any) -> Calendar:
    values: dict[str, Any] = {
        "name": "morning", "zone": "Europe/Zagreb", "rule": "FREQ=DAILY",
        "first_day": date(2026, 1, 1), "hour": "06:30", "classes": ["balance"],
    }  # fmt: skip
    return Calendar(**(values | changes))


def us(text: str) -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()) * S


def documents_of(state: StandInState, offer: DocumentSet | None = None) -> DocumentReplica:
    async def nobody(kind: str, job_id: str, body: bytes) -> None:
        return None

    documents = DocumentReplica(cast(StateClient, state), offer, nobody)
    CalendarBinder(documents, S)
    return documents


def put_edition(state: StandInState, found: Calendar, edition: int) -> None:
    offer = DocumentSet(edition, {f"{KIND}/{found.name}": msgspec.Raw(msgspec.json.encode(found))})
    for step in plan_publication(offer, [], 9):
        for key, value in step.items():
            state.put(key, value)
