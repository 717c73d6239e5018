"""Drawn workloads of both customers' shapes."""

from random import Random

import attrs

from cranberryshore.work import Capacity, JobRequest, TaskSpec

DECLARED_ERROR = 0.5
SHORT_TASK_SHARE = 0.95
LONGEST_TASK_MS = 3000.0


@attrs.frozen
class JobArrival:
    """One job of a trace: when it arrives and how long its tasks really run."""

    at: float
    team: str
    urgent: bool
    demand: Capacity
    run_ms: tuple[float, ...]
    declared_ms: int

    def request(self) -> JobRequest:
        """Return what the caller submits; the payload tells the stand-in the real run time."""
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
class JobShape:
    """How a customer's jobs are drawn.

    Parameters
    ----------
    sizes : tuple of (int, float)
        Number of tasks and weight of each size.
    median_ms : float
        Median run time of a task.
    spread : float
        Standard deviation of the logarithm of the run time.
    demand : Capacity
        What a task needs.
    """

    sizes: tuple[tuple[int, float], ...]
    median_ms: float
    spread: float
    demand: Capacity
    teams: int = 4
    urgent_share: float = 0.2

    def draw_run_ms(self, random: Random) -> float:
        """Draw one task's run time in milliseconds."""
        drawn = self.median_ms * random.lognormvariate(0.0, self.spread)
        return min(max(drawn, 20.0), LONGEST_TASK_MS)

    def mean_work_ms(self, random: Random, draws: int = 2000) -> float:
        """Return the mean processor milliseconds of a job."""
        sizes, weights = zip(*self.sizes, strict=True)
        mean_size = sum(size * weight for size, weight in self.sizes) / sum(weights)
        mean_ms = sum(self.draw_run_ms(random) for _ in range(draws)) / draws
        return mean_size * mean_ms * self.demand.millicores / 1000


CONSORTIUM_JOBS = JobShape(
    sizes=((1, 6.0), (5, 3.0), (20, 1.0)),
    median_ms=100.0,
    spread=0.6,
    demand=Capacity(1000, 1024, 0),
)
HANEUL_JOBS = JobShape(
    sizes=((1, 2.0), (10, 3.0), (40, 3.0), (120, 1.0)),
    median_ms=200.0,
    spread=0.7,
    demand=Capacity(1000, 1024, 0),
)


def draw_jobs(
    shape: JobShape, processors: int, load: float, seconds: float, random: Random
) -> list[JobArrival]:
    """Draw jobs that keep ``processors`` busy to the share ``load``.

    Arrivals are Poisson. Declared run times are off by a random factor.
    """
    rate = load * processors * 1000 / shape.mean_work_ms(Random(0))
    sizes, weights = zip(*shape.sizes, strict=True)
    arrivals, at = [], random.expovariate(rate)
    while at < seconds:
        size = random.choices(sizes, weights)[0]
        run_ms = tuple(shape.draw_run_ms(random) for _ in range(size))
        factor = random.lognormvariate(0.0, DECLARED_ERROR)
        declared = max(int(shape.median_ms * factor), 1)
        team = f"team-{random.randrange(shape.teams)}"
        urgent = random.random() < shape.urgent_share
        arrivals.append(JobArrival(at, team, urgent, shape.demand, run_ms, declared))
        at += random.expovariate(rate)
    return arrivals


def draw_requests(
    slots: int, load: float, seconds: float, mean_ms: float, random: Random
) -> list[RequestArrival]:
    """Draw requests that keep ``slots`` busy to the share ``load``."""
    rate = load * slots * 1000 / mean_ms
    arrivals, at = [], random.expovariate(rate)
    while at < seconds:
        service_ms = min(max(random.expovariate(1 / mean_ms), 2.0), 10 * mean_ms)
        team = f"team-{random.randrange(4)}"
        arrivals.append(RequestArrival(at, team, random.random() < 0.3, service_ms))
        at += random.expovariate(rate)
    return arrivals
