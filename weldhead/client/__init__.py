"""The client library: submits jobs and gives each submission exactly one final answer.

The answer stays the same when connections, servers or the calling process fail in between.
``Client`` is for asynchronous code, ``SyncClient`` offers the same methods as blocking calls;
``docs/client.md`` describes their use.
"""

from weldhead.client.answers import Answer, Outcome
from weldhead.client.client import Client, ClientSettings
from weldhead.client.job import Job, JobProblem
from weldhead.client.journal import Journal, JournalError, KeyConflict
from weldhead.client.policy import Policies, Policy, read_policies
from weldhead.client.sync import SyncClient

__all__ = [
    "Answer",
    "Client",
    "ClientSettings",
    "Job",
    "JobProblem",
    "Journal",
    "JournalError",
    "KeyConflict",
    "Outcome",
    "Policies",
    "Policy",
    "SyncClient",
    "read_policies",
]
