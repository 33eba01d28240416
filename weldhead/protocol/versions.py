"""Which formats of records and messages exist, and what may be sent to whom.

Controllers of neighbouring versions serve side by side during an upgrade, and either may
lead at any moment. So every record and message of a format is read by the ones next to it:

======  =============================================================================
format  what it has
======  =============================================================================
1       weldhead 0.2: records ``leader``, ``j/``, ``p/``, ``f/``, ``h/`` and peer messages
        hello, ping, pong, ask, answer, hold, held, resigned, as their modules state them
        without the fields below
2       job chains. A submission, and so the ``spec`` of a ``j/`` record, may have the
        list of needed jobs; an ``f/`` record may have ``ended_us`` and ``service``; a pong
        ends with the answerer's format. Keys and messages are the same
3       a pong ends with whether the answerer is in a term; messages look and seen
4       documents: keys ``d/``; a ``j/`` record may have ``bound``, ``hold`` and ``deed``, and
        in the last two cases a need ``gate/NAME``; an ask may be of the kinds ``documents``,
        ``read`` and ``known``, which others refuse; the leader's record may have ``earlier_us``
5       key ``unsettled``, written with the leader's record; a ping may end with whether its sender
        refuses new work for its memory, which nobody relies on
======  =============================================================================

Rules that keep it so:

* A new field is optional, and its absence means what the older format meant. Both formats
  ignore fields, and trailing elements of messages, that they do not know.
* An older leader that rewrites a record drops the newer fields. It rewrites a ``j/`` record
  only to cancel it, after which nobody asks what the job needed; it writes ``f/`` records
  without ``ended_us`` (a job that needs that one was submitted later, and its times count
  from its submission) and rewrites ``h/`` records, which are the same.
* A peer's format is what its last pong said; format 1 says nothing. A link that knows no
  such message drops the connection, so a message of a newer format goes only to peers that
  have said that format.
* A pong of format 1 or 2 does not say whether its sender is in a term: it counts as if it
  were, so a controller that has just started waits for its former promises beside one.
* Whoever does not know documents would start the tasks of a job that a gate holds, and an
  older leader's rewriting loses what binds it. So a job that a gate holds, or that works on
  one, is neither passed to such a peer nor accepted beside one. Should a version that knows
  chains come back and lead all the same, the need ``gate/NAME`` keeps it from starting these
  jobs: no job can have that name, and nobody ever writes how it ended. Whoever knows the
  format ignores that need; if it is given no documents itself, it starts no job with a
  ``hold`` or a ``deed``: closed when in doubt.
* An older leader neither writes nor deletes ``unsettled``: what stands there since before makes
  the next leader that reads it more careful for the moment in which it is not loaded, never
  less. That older leader keeps leases without bound while it is not loaded, as it always did.
* Whoever knows format 1 only would start the tasks of a job that waits. So a submission
  that names needed jobs is neither passed to such a peer nor accepted beside one.
"""

#: What a peer has that says nothing.
FIRST_FORMAT = 1
#: The format of this version.
FORMAT = 5
#: The first that knows job chains.
CHAINS_FORMAT = 2
#: The first that can be asked whether it reaches a third controller.
LOOK_FORMAT = 3
#: The first that knows documents.
DOCUMENTS_FORMAT = 4
