"""Users behind a connection-level load balancer, as PROTOCOL-weldhead.md describes them."""

import asyncio
import time
from typing import Any

from support_2.machines_2 import Job, World
from support_2.web_2 import CallFailedError, call

RETRIED_FOR_S = 60.0


class Users:
    def __init__(self, world: World) -> None:
        self._world = world
        self._healthy: dict[str, bool] = dict.fromkeys(world.nodes, False)
        #: Each node's last answer to the health check.
        self.answers: dict[str, int] = {}
        self._turn = 0

    async def probe(self) -> None:
        """Ask each node about once a second whether it is ready."""
        while True:
            await asyncio.gather(*(self._probe(name) for name in self._world.nodes))
            await asyncio.sleep(0.5)

    async def _probe(self, name: str) -> None:
        try:
            status, _ = await call(self._world.nodes[name], "GET", "/ready", timeout_s=1.0)
        except CallFailedError:
            status = 0
        self.answers[name] = status
        if self._healthy[name] != (status == 200):
            self._world.record.write("node is " + ("ready" if status == 200 else "not ready"),
                node=name, status=status)  # fmt: skip
        self._healthy[name] = status == 200

    async def wait_until_ready(self, within_s: float) -> bool:
        ends = time.monotonic() + within_s
        while not all(self._healthy.values()):
            if time.monotonic() > ends:
                return False
            await asyncio.sleep(0.05)
        return True

    def _node(self) -> str | None:
        names = [name for name, healthy in self._healthy.items() if healthy]
        self._turn += 1
        return names[self._turn % len(names)] if names else None

    async def send(
        self, method: str, path: str, value: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a request once through the load balancer; status 0 if there is no answer."""
        node = self._node()
        if node is None:
            return 0, None
        try:
            status, answer = await call(self._world.nodes[node], method, path, value, timeout_s)
        except CallFailedError as error:
            status, answer = 0, str(error)
        shown = value if method == "POST" and path == "/submissions" else None
        self._world.record.write(
            "user", asks=f"{method} {path}", node=node, status=status, answer=answer,
            **({"body": shown} if shown else {}),
        )  # fmt: skip
        return status, answer

    async def submit(self, spec: dict[str, Any], run_s: float) -> bool:
        """Submit a job, and repeat it as the protocol says; return whether it was accepted."""
        self._world.jobs[spec["uid"]] = Job(spec, run_s)
        ends = time.monotonic() + RETRIED_FOR_S
        while time.monotonic() < ends:
            status, _ = await self.send("POST", "/submissions", spec)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, uid: str) -> tuple[int, Any]:
        return await self.send("GET", f"/submissions/{uid}", timeout_s=2.0)


def job_spec(uid: str, owner: str, **changes: Any) -> dict[str, Any]:
    """Return a submission with every field, some of them changed."""
    return {
        "uid": uid, "jobclass": "render-ponude", "owner": owner, "shape": "batch",
        "urgency": "normal", "pieces": 1, "cores": 1.0, "cards": 0.0, "ram_gb": 2.0,
        "build": "img-01", "pull_gb": 0.4, "frames": None, "yard": None, "same_place": False,
        "apart": False, "loaners": True, "expected_s": 20.0, "tack_s": 0.0, "weld_s": 0.0,
        "due_s": None,
    } | changes  # fmt: skip
