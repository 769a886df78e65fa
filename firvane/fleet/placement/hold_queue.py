"""Requests that are held briefly since no backend has room."""

from __future__ import annotations

from firvane.fleet.placement.jobs import Job


class HoldQueue:
    """The held requests, the most urgent first, then in order of arrival."""

    def __init__(self) -> None:
        self._jobs: dict[int, Job] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job: Job) -> bool:
        return job.request.id in self._jobs

    def add(self, job: Job) -> None:
        self._jobs[job.request.id] = job

    def drop(self, job: Job) -> None:
        """Harmless where the job is not held."""
        self._jobs.pop(job.request.id, None)

    def in_order(self) -> list[Job]:
        """All of them, in the order in which they are to be tried again."""
        return sorted(self._jobs.values(), key=_urgency)


def _urgency(job: Job) -> tuple[int, int]:
    return job.request.priority, job.request.id
