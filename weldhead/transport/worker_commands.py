"""Commands that the leader sends directly to a worker, over HTTP."""

import msgspec

from weldhead.protocol import http_status
from weldhead.protocol.wire import Command, DirectCommands, Heartbeat
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.state_client import decode


async def send_commands(
    http: HttpClient,
    address: str,
    token: int,
    session: int,
    commands: list[Command],
    timeout_us: int,
    *,
    close: bool = False,
) -> tuple[bool, Heartbeat]:
    """Send commands; return whether the worker executed them, and the worker's heartbeat.

    After a CallError the commands may have been executed, or may still be executed later; after
    a NotConnectedError they were not sent. ``close``: do not keep the connection open.
    """
    body = msgspec.json.encode(DirectCommands(token, session, commands))
    status, answer = await http.call(
        "POST",
        f"http://{address}/commands",
        body,
        timeout_us,
        connect_timeout_us=2_000_000,
        close=close,
    )
    if status not in (http_status.OK, http_status.CONFLICT):
        raise CallError(f"worker {address}: POST /commands answered {status}")
    return status == http_status.OK, decode(answer, Heartbeat)
