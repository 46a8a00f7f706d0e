"""Replicated state of background jobs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from ._invariants import check_invariant
from ._records import JobAccepted, JobDone


@dataclass(frozen=True, slots=True)
class Job:
    """Accepted job; ``done`` is its result, None while it is unfinished.

    ``read_at`` and ``recorded_at`` are monotonic times of this VM: when the job was
    first read, and when its latest record was read.
    """

    accepted: JobAccepted
    read_at: float
    recorded_at: float
    done: JobDone | None = None


class JobState:
    """State rebuilt by replaying the job records of the work stream."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}
        self._open: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        return iter(list(self._jobs.values()))

    def get(self, job_id: str) -> Job | None:
        """Return a job by id, None if it is unknown."""
        return self._jobs.get(job_id)

    def open_jobs(self) -> list[Job]:
        """Return the unfinished jobs in order of acceptance."""
        return [self._jobs[job_id] for job_id in self._open]

    def apply_accepted(self, accepted: JobAccepted, now: float) -> None:
        """Add a job, or update the time at which a known one was recorded."""
        job = self._jobs.get(accepted.job_id)
        if job is not None:
            self._put(replace(job, recorded_at=now))
            return
        self._put(Job(accepted, now, now))
        self._open[accepted.job_id] = None

    def apply_done(self, done: JobDone, now: float) -> bool:
        """Apply the first result of a job; return False if the result is ignored."""
        job = self._jobs.get(done.job_id)
        if job is None or job.done is not None:
            return False
        self._put(replace(job, done=done, recorded_at=now))
        self._open.pop(done.job_id, None)
        return True

    def recorded_before(self, limit: float) -> list[Job]:
        """Return jobs whose latest record was read before monotonic ``limit``."""
        old = []
        for job in self._jobs.values():
            if job.recorded_at >= limit:
                break
            old.append(job)
        return old

    def drop(self, job_id: str) -> None:
        """Remove a job, which must be finished."""
        check_invariant(job_id not in self._open, "jobs-keep-unfinished", job_id)
        self._jobs.pop(job_id, None)

    def _put(self, job: Job) -> None:
        """Store a job at the end, which orders the jobs by their latest record."""
        self._jobs.pop(job.accepted.job_id, None)
        self._jobs[job.accepted.job_id] = job
