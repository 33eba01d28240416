"""The client: exactly one final answer for every submission, whatever breaks in between.

``Client`` is asynchronous, ``SyncClient`` the same for everybody else; ``docs/client.md``
tells how they are used.
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
