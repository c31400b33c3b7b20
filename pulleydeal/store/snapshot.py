"""What a load of all records has read so far, before it replaces the contents of the replica."""

from pulleydeal.store import messages as m
from pulleydeal.store import records as r
from pulleydeal.store.retired_jobs import RetiredJobs


class Snapshot:
    """Takes in one page after the other, so that no record of a retired job outlives its page."""

    def __init__(self) -> None:
        self.retired = RetiredJobs()
        self.entries: list[m.Entry] = []  # all other records

    def add(self, page: m.Page) -> None:
        """Takes in the records of a page, which come in the order of their keys."""
        for entry in page.items:
            job_id = r.job_of(entry.key)
            record = r.JOB.decode(entry.value) if job_id is not None else None
            if job_id is not None and record is not None and record.spec is None:
                self.retired.load(job_id, record)
            else:
                # Without the copy, the entry would keep the body of the whole page.
                self.entries.append(m.Entry(entry.key, entry.value.copy(), entry.version))
