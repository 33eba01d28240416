"""Is this controller alone: without the state service and without any other one? No I/O.

A controller that the state service does not serve can still be of use while others answer it:
they may be served, and when none is, that is an outage, in which all stay where they are. One
that nobody answers either can only say no. It is not the others that are dead then, most likely,
and neither can it tell anybody anything new: whoever asks is better sent on at once.

A controller that is the only one of its site is never alone, and a process that stood still
does not take its own silence for the others'. Times are microseconds of this node's steady clock.
"""

from dataclasses import dataclass

from weldhead.clock import MILLISECOND_US

#: Others have not answered for so long: three pings of each went unanswered.
SILENT_US = 1_200 * MILLISECOND_US
#: While all others are silent, the state service is asked so long after the last call to it.
ASK_AGAIN_US = 500 * MILLISECOND_US
#: Who looks so much later than it meant to stood still itself.
STOOD_STILL_US = 500 * MILLISECOND_US


@dataclass(frozen=True)
class LastContact:
    """When this node last reached what; 0: never."""

    #: When another controller last answered it. That one can be heard is not enough: where
    #: only the way out is cut, those who speak cannot be asked for anything.
    answered_us: int
    #: When the last call that the state service served was sent.
    served_us: int
    #: When a call to the state service last failed.
    failed_us: int


class IsolationDetector:
    """Whether this node is alone, as of the last look."""

    def __init__(self, started_us: int) -> None:
        self._since_us = self._looked_us = started_us
        self.isolated = False
        #: Whether the state service has to be asked to tell.
        self.probe_wanted = False

    def update(self, contact: LastContact, at_us: int) -> bool:
        """Take a new observation; whether the verdict has changed."""
        if at_us - self._looked_us > STOOD_STILL_US and not self.isolated:
            self._since_us = at_us
        self._looked_us = at_us
        silent = at_us - max(contact.answered_us, self._since_us) >= SILENT_US
        called_us = max(contact.served_us, contact.failed_us)
        self.probe_wanted = silent and at_us - called_us >= ASK_AGAIN_US
        alone = silent and contact.failed_us > contact.served_us
        changed, self.isolated = alone != self.isolated, alone
        return changed
