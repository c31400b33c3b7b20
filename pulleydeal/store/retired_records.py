"""Reads records of retired jobs, of which the replica keeps only the final state."""

import asyncio

from pulleydeal import constants as c
from pulleydeal.background import retrieve_exception
from pulleydeal.http import DECODE_ERRORS
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, StateClient, Unavailable
from pulleydeal.store.replica import Replica


class RetiredRecords:
    """Reads records into the replica. Callers that ask for the same one share its read."""

    def __init__(self, client: StateClient, replica: Replica) -> None:
        self._client = client
        self._replica = replica
        self._reads: dict[str, asyncio.Task[None]] = {}  # by job

    async def read(self, job_id: str) -> None:
        """Reads a record, so that the next look-up of the job in the replica has it.

        Gives up without an error if too many are read now or the state service does not answer.
        """
        read = self._reads.get(job_id)
        if read is None:
            read = self._reads[job_id] = asyncio.ensure_future(self._read(job_id))
            read.add_done_callback(retrieve_exception)
            read.add_done_callback(lambda _: self._reads.pop(job_id, None))
        try:
            async with asyncio.timeout(c.RETIRED_READ_S):
                await asyncio.shield(read)
        except (Unavailable, OutcomeUnknown, TimeoutError, *DECODE_ERRORS):
            return

    async def _read(self, job_id: str) -> None:
        value = await self._client.read(r.job_key(job_id))
        if value is not None:
            self._replica.jobs.retired.remember(job_id, r.JOB.decode(value))
