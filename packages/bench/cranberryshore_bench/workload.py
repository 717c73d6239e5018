"""Random traces of jobs and requests, as client accounts send them."""

from random import Random

import attrs

from cranberryshore.work import Capacity, JobRequest, TaskSpec

DECLARED_TIME_SIGMA = 0.5
SHORT_TASK_SHARE = 0.95
MAX_TASK_MS = 3000.0


@attrs.frozen
class JobArrival:
    """One job of a trace.

    ``run_ms`` holds the actual run times of its tasks; ``demand`` and ``declared_ms``, the expected
    run time that the caller declares, are the same for all of them.
    """

    at: float
    team: str
    urgent: bool
    demand: Capacity
    run_ms: tuple[float, ...]
    declared_ms: int

    def request(self) -> JobRequest:
        """Return the submission; its payloads tell the worker stand-in the actual run times."""
        tasks = tuple(
            TaskSpec(self.demand, self.declared_ms, f"run_ms={ms:.1f}") for ms in self.run_ms
        )
        return JobRequest(tasks, self.team, self.urgent)


@attrs.frozen
class RequestArrival:
    """One request of a trace."""

    at: float
    team: str
    urgent: bool
    service_ms: float


@attrs.frozen
class JobDistribution:
    """Distribution of a client account's jobs.

    ``sizes`` holds the number of tasks and relative frequency of each job size, ``sigma`` the
    standard deviation of the logarithm of the run time; ``median_ms`` and ``demand`` are per task.
    """

    sizes: tuple[tuple[int, float], ...]
    median_ms: float
    sigma: float
    demand: Capacity
    teams: int = 4
    urgent_share: float = 0.2

    def draw_run_ms(self, random: Random) -> float:
        """Draw the run time of a task in milliseconds, from 20 to ``MAX_TASK_MS``."""
        drawn = self.median_ms * random.lognormvariate(0.0, self.sigma)
        return min(max(drawn, 20.0), MAX_TASK_MS)

    def mean_work_ms(self, random: Random, draws: int = 2000) -> float:
        """Estimate the mean processor milliseconds of a job from random draws."""
        sizes, weights = zip(*self.sizes, strict=True)
        mean_size = sum(size * weight for size, weight in self.sizes) / sum(weights)
        mean_ms = sum(self.draw_run_ms(random) for _ in range(draws)) / draws
        return mean_size * mean_ms * self.demand.millicores / 1000


CONSORTIUM_JOBS = JobDistribution(
    sizes=((1, 6.0), (5, 3.0), (20, 1.0)),
    median_ms=100.0,
    sigma=0.6,
    demand=Capacity(1000, 1024, 0),
)
HANEUL_JOBS = JobDistribution(
    sizes=((1, 2.0), (10, 3.0), (40, 3.0), (120, 1.0)),
    median_ms=200.0,
    sigma=0.7,
    demand=Capacity(1000, 1024, 0),
)


def draw_jobs(
    distribution: JobDistribution, processors: int, load: float, seconds: float, random: Random
) -> list[JobArrival]:
    """Draw jobs that use the share ``load`` of ``processors``.

    Arrivals form a Poisson process; the declared run time is the median times a log-normal factor.
    """
    rate = load * processors * 1000 / distribution.mean_work_ms(Random(0))
    sizes, weights = zip(*distribution.sizes, strict=True)
    arrivals, at = [], random.expovariate(rate)
    while at < seconds:
        size = random.choices(sizes, weights)[0]
        run_ms = tuple(distribution.draw_run_ms(random) for _ in range(size))
        factor = random.lognormvariate(0.0, DECLARED_TIME_SIGMA)
        declared = max(int(distribution.median_ms * factor), 1)
        team = f"team-{random.randrange(distribution.teams)}"
        urgent = random.random() < distribution.urgent_share
        arrivals.append(JobArrival(at, team, urgent, distribution.demand, run_ms, declared))
        at += random.expovariate(rate)
    return arrivals


def draw_requests(
    slots: int, load: float, seconds: float, mean_ms: float, random: Random
) -> list[RequestArrival]:
    """Draw requests that use the share ``load`` of ``slots``."""
    rate = load * slots * 1000 / mean_ms
    arrivals, at = [], random.expovariate(rate)
    while at < seconds:
        service_ms = min(max(random.expovariate(1 / mean_ms), 2.0), 10 * mean_ms)
        team = f"team-{random.randrange(4)}"
        arrivals.append(RequestArrival(at, team, random.random() < 0.3, service_ms))
        at += random.expovariate(rate)
    return arrivals
