"""The machine pool: idempotent rentals, capacity, lagging lists, and restarts from records."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.support.builders import machine_type
from weldhead.clock import SECOND_US
from weldhead.protocol.wire import RentalRequest
from weldhead.site.description import SpotSection
from weldhead.site.pool import Gone, Pool, PoolError, Record, plan_recall

SMALL = machine_type(name="small", cpus=1.0, zones=("a",))
LARGE = machine_type(name="large", cpus=4.0, zones=("a", "b"))
LAG_US = SECOND_US


# Guards against a pool that forgets a rental when it is killed and loaded from its records, gives
# a repeated request other machines, reuses a machine's name, or exceeds its capacity.
# The source of this class, but for its comments, seeds the examples that Hypothesis draws.
class PoolMachine(RuleBasedStateMachine):
    """The pool is loaded anew from its record at any time; nothing that was told is lost."""

    @initialize()
    def begin(self) -> None:
        self.now = 100 * SECOND_US
        self.record: list[Record] = []
        self.pool = Pool([SMALL, LARGE], 10.0, LAG_US, {"large": 2})
        self.answers: dict[str, list[str]] = {}
        self.ever: set[str] = set()
        self.listed: set[str] = set()

    @rule(
        rental=st.sampled_from(["h1", "h2", "h3", "h4"]),
        kind=st.sampled_from(["small", "large"]),
        count=st.integers(1, 6),
    )
    def rent(self, rental: str, kind: str, count: int) -> None:
        request = RentalRequest(rental, kind, "a", False, count)
        try:
            names, record = self.pool.rent(request, self.now)
        except PoolError as refused:
            assert refused.status == 503
            assert rental not in self.answers
            assert self.pool.room(SMALL if kind == "small" else LARGE) == 0
            return
        if rental in self.answers:
            assert record is None
            assert names == self.answers[rental]
            return
        assert record is not None
        self.record.append(record)
        self.pool.rented(record)
        assert not set(names) & self.ever
        self.ever |= set(names)
        self.answers[rental] = names

    @rule(pick=st.integers(0, 20))
    def delete(self, pick: int) -> None:
        names = sorted(self.ever)
        if not names:
            return
        for machine in self.pool.leave([names[pick % len(names)], "vm-999999"]):
            self.record.append(Gone(machine.name))
            self.pool.gone(machine.name, self.now)
            self.listed.discard(machine.name)

    @rule(step=st.integers(1, 2 * SECOND_US))
    def time_passes(self, step: int) -> None:
        self.now += step

    @rule(compacted=st.booleans())
    def killed_and_loaded_again(self, compacted: bool) -> None:
        if compacted:
            self.record = list(self.pool.records())
        self.pool = Pool([SMALL, LARGE], 10.0, LAG_US, {"large": 2})
        self.pool.load(self.record)

    @rule(most=st.integers(1, 3))
    def read_the_list(self, most: int) -> None:
        start, seen = "", []
        while True:
            page = self.pool.listing(start, most, self.now)
            seen += [machine.id for machine in page.machines]
            if not page.more:
                break
            start = page.machines[-1].id
        assert seen == sorted(seen)
        # Once listed, a machine stays listed until it is gone.
        assert self.listed <= set(seen)
        present = {m.name for m in self.pool.machines.values() if not m.gone_us}
        self.listed |= set(seen) & present

    @invariant()
    def never_more_than_there_is(self) -> None:
        if not hasattr(self, "pool"):
            return
        present = [machine for machine in self.pool.machines.values() if not machine.gone_us]
        assert sum(machine.type.cpus for machine in present) <= 10.0
        assert sum(machine.type.name == "large" for machine in present) <= 2


PoolMachine.TestCase.settings = settings(max_examples=50, stateful_step_count=30)
TestPool = PoolMachine.TestCase


def test_machine_list_lags_and_pages_are_bounded() -> None:
    """Rented and deleted machines appear in and vanish from lists after the list lag."""
    pool = Pool([SMALL], 100.0, LAG_US)
    _, record = pool.rent(RentalRequest("h", "small", "a", True, 3), SECOND_US)
    assert record is not None
    pool.rented(record)
    assert pool.listing("", 500, 2 * SECOND_US - 1).machines == []
    page = pool.listing("", 500, 3 * SECOND_US)
    assert [(m.id, m.state, m.spot, m.age_s) for m in page.machines] == [
        (f"vm-00000{number}", "starting", True, 1.0) for number in (1, 2, 3)
    ]
    pool.gone("vm-000002", 3 * SECOND_US)
    assert len(pool.listing("", 500, 4 * SECOND_US - 1).machines) == 3
    assert len(pool.listing("", 500, 4 * SECOND_US).machines) == 2
    with pytest.raises(PoolError):
        pool.listing("", 501, 0)


@pytest.mark.parametrize(
    "request_",
    [
        RentalRequest("h", "none", "a", False, 1),
        RentalRequest("h", "small", "b", False, 1),
        RentalRequest("h", "small", "a", False, 0),
        RentalRequest("h", "small", "a", False, 51),
        RentalRequest("", "small", "a", False, 1),
    ],
)
def test_malformed_rental_is_rejected(request_: RentalRequest) -> None:
    """An unknown type or zone, a count out of bounds or an empty name gets status 400."""
    with pytest.raises(PoolError) as refused:
        Pool([SMALL], 4.0, LAG_US).rent(request_, 0)
    assert refused.value.status == 400


def test_rental_record_round_trips_through_msgpack() -> None:
    """A restarted pool must decode the rental that it recorded before."""
    pool = Pool([SMALL], 4.0, LAG_US)
    _, record = pool.rent(RentalRequest("h", "small", "a", True, 2), 7)
    written = msgspec.msgpack.encode(record)
    assert msgspec.msgpack.decode(written, type=Record) == record


def test_spot_recall_is_deterministic_and_mostly_announced() -> None:
    """A restarted pool must plan the same recalls; about a fifth of them come without notice."""
    spot = SpotSection(mean_life_s=60.0, notice_s=30.0, unannounced=0.2, seed=3)
    plans = [plan_recall(spot, f"vm-{number}", 0) for number in range(500)]
    assert plans == [plan_recall(spot, f"vm-{number}", 0) for number in range(500)]
    known = [plan for plan in plans if plan is not None]
    assert len(known) == 500
    assert 60 <= sum(plan.notice_us is None for plan in known) <= 140
    for plan in known:
        if plan.notice_us is not None:
            assert 15 * SECOND_US <= plan.reclaim_us - plan.notice_us <= 45 * SECOND_US
    assert plan_recall(SpotSection(), "vm-1", 0) is None
