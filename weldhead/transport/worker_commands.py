"""Direct commands to workers."""

import msgspec

from weldhead.protocol import http_status
from weldhead.protocol.wire import Command, DirectCommands, Heartbeat
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.state_client import decode


async def command(
    http: HttpClient,
    address: str,
    token: int,
    session: int,
    commands: list[Command],
    timeout_us: int,
    *,
    close: bool = False,
) -> tuple[bool, Heartbeat]:
    """Send commands; return whether they were executed, and the worker's report.

    CallError leaves open whether, and when, they are executed; NotConnectedError does not.
    ``close``: the connection is not kept for later.
    """
    body = msgspec.json.encode(DirectCommands(token, session, commands))
    status, answer = await http.call(
        "POST", f"http://{address}/commands", body, timeout_us, connect_us=2_000_000, close=close
    )
    if status not in (http_status.OK, http_status.CONFLICT):
        raise CallError(f"worker: {status}")
    return status == http_status.OK, decode(answer, Heartbeat)
