"""The formats of records and messages, and which messages a peer of a format may be sent.

During an upgrade, controllers of two adjacent versions serve side by side, and a controller of
either version may lead at any time. Therefore each version reads the records and messages of the
adjacent formats. Names are given as they are encoded:

======  =============================================================================
format  contents
======  =============================================================================
1       weldhead 0.2: the records ``leader``, ``j/``, ``p/``, ``f/`` and ``h/``, and the peer
        messages hello, ping, pong, ask, answer, hold, held and resigned, without the fields
        of the later formats
2       dependencies between jobs: a submission, and so the ``spec`` of a ``j/`` record, may
        list the jobs it needs; an ``f/`` record may have ``ended_us`` and ``service``; a
        pong ends with the sender's format; keys and message types are unchanged
3       a pong ends with whether its sender is in a term; the messages look and seen
4       documents: keys ``d/``; a ``j/`` record may have ``bound``, ``hold`` and ``deed``, and
        with one of the last two also the needed job ``gate/NAME``; an ask may be of the kinds
        ``documents``, ``read`` and ``known``, which older versions refuse; the ``leader``
        record may have ``earlier_us``
5       the key ``unsettled``, which is written together with the ``leader`` record; a ping may
        end with whether its sender refuses new jobs because of its memory use, and no version
        relies on that field
======  =============================================================================

Rules for compatibility:

* A new field is optional, and its absence means what the older format meant. All versions
  ignore fields, and trailing elements of messages, that they do not know.
* When an older leader rewrites a record, the fields of newer formats are lost. A leader of
  format 1 rewrites a ``j/`` record only to cancel the job, and after that the jobs it needed
  are never read. It writes ``f/`` records without ``ended_us``; a job that depends on such an
  ended job was submitted later, so its times count from its submission. It also rewrites ``h/``
  records, whose format has not changed.
* The format of a peer is the one in its last pong; format 1 does not state it. A controller
  closes a connection on which it receives a message type it does not know, so a message of a
  newer format is sent only to peers that have stated that format.
* A pong of format 1 or 2 does not state whether its sender is in a term, so the sender counts as
  being in one. A controller that has just started keeps the promises of its previous process
  while it has such a peer.
* A version without documents would start the tasks of a job that a gate holds, and if its leader
  rewrites the record, the job's ties to its gate and calendar are lost. So a job that a gate holds,
  or that acts on a gate, is not passed to such a peer, and is not accepted while there is one. If
  a version with dependencies but without documents leads nevertheless, the needed job
  ``gate/NAME`` keeps it from starting these jobs: no job can have that id, so its end is never
  recorded. A version with documents ignores that needed job. If it was given no documents, it
  starts no job with a ``hold`` or a ``deed``: when in doubt, a job is not started.
* A leader of an older format neither writes nor deletes ``unsettled``. A record that remains from
  before can only make the next leader that reads it more careful until it has read all jobs.
  The older leader itself keeps workers' leases alive without a time limit until it has read all
  jobs, as it always did.
* A version that knows only format 1 would start the tasks of a job that waits for other jobs. So
  a submission that lists needed jobs is not passed to such a peer, and is not accepted while
  there is one.
"""

#: The format of a peer that does not state its format.
FIRST_FORMAT = 1
#: The format of this version.
CURRENT_FORMAT = 5
#: The first format with jobs that depend on other jobs.
JOB_DEPENDENCIES_FORMAT = 2
#: The first format in which a controller can be asked to probe another controller.
INDIRECT_PROBE_FORMAT = 3
#: The first format with documents (calendars and gates).
DOCUMENTS_FORMAT = 4
