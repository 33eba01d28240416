"""Users look at all nodes within milliseconds, and no node tells anything older.

The real controllers on the emulator's loop, asked in pairs of acts
(``emulator/read_your_writes.py``).
"""

import pytest

from weldhead.emulator.injected_bugs import injected_bug
from weldhead.emulator.read_your_writes import play_close_looks


@pytest.mark.parametrize("seed", range(3))
def test_no_node_answers_anything_older_than_what_another_has_told(seed: int) -> None:
    site = play_close_looks(seed)
    assert not site.missing()
    assert not site.older, site.older
    assert not site.experiment.checker.broken, site.experiment.checker.details
    # It was not by saying nothing that nothing older was said.
    assert site.statuses[200] > sum(site.statuses.values()) / 3, site.statuses


def test_a_follower_that_answers_from_an_old_read_is_found() -> None:
    with injected_bug("follower-answers-from-an-old-read"):
        assert any(play_close_looks(seed).older for seed in range(2))
