"""Random soak with jobs of several steps, labels and limits, which the users' days don't play."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from random import Random

import attrs
from aiohttp import ClientError, ClientTimeout
from standins.cluster import ROUTE_HOST, Cluster, route
from standins.minion import Run
from standins.record import Record

SHRINK_SECONDS = 4.5
RETRY_SECONDS = 1.3
PREFIX = "/lohu930/"
REJECTED = (400, 404, 429, 503)


@attrs.define(eq=False)
class Job:
    """A job, and the statuses of all attempts to hand it in."""

    id: str
    body: dict
    deadline_ms: int
    statuses: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class Explorer:
    """Plays random troubles and checks the rules."""

    seed: int
    record: Record
    seconds: float
    random: Random = attrs.field(init=False)
    cluster: Cluster = attrs.field(init=False)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    active: dict[str, list[Run]] = attrs.field(factory=dict)
    all_runs: dict[str, list[Run]] = attrs.field(factory=dict)
    rooms: dict[str, list[tuple[float, int]]] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    answers: dict[int, int] = attrs.field(factory=dict)
    busy: set = attrs.field(factory=set)
    kinds: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.cluster = Cluster(
            self.record,
            daemon_count=int(os.environ.get("DAEMONS", "5")),
            routes=[
                route("r-3hwrr6x", PREFIX, timeoutMs=4000, slackFactor=3.0, targetLatencyMs=400)
            ],
        )
        self.cluster.has_proxies = True
        self.cluster.on_run.append(self.check)
        self.cluster.seconds_of = self.seconds_of

    def broken(self, text: str) -> None:
        """Record a violation."""
        self.violations.append(text)
        self.record.add("broken", text)
        print(self.seed, f"{self.record.now():.2f}", text, flush=True)

    def seconds_of(self, task: str, spec: str) -> float:
        """Return how long a task works."""
        return self.step_of(task)["estimateMs"] * json.loads(spec)["factor"] / 1000

    def step_of(self, task: str) -> dict:
        """Return the step of a task."""
        job, _, step, _ = task.split(".")
        return self.jobs[job].body["steps"][int(step)]

    def check(self, run: Run) -> None:
        """Check the rules on starts for a new run."""
        job_id, _, step, _index = run.task.split(".")
        job = self.jobs.get(job_id)
        if job is None or job.body["spec"] != run.spec:
            self.broken(f"UNASKED {run.task}")
            return
        now = self.record.now()
        others = [item for item in self.all_runs.get(run.task, []) if item.ended_at > now]
        if others:
            where = [(item.minion.id, item.attempt, item.started_at) for item in others]
            self.broken(f"TWICE {run.task}/{run.attempt} on {run.minion.id}; {where}")
        self.all_runs.setdefault(run.task, []).append(run)
        spec = job.body["steps"][int(step)]
        used = sum(self.step_of(item.task).get("cpu", 0) for item in run.minion.runs.values())
        room = max(
            [run.minion.cpu]
            + [cpu for at, cpu in self.rooms.get(run.minion.id, []) if now < at + SHRINK_SECONDS]
        )
        if used > room:
            self.broken(f"LIMIT {run.minion.id} {used} of {room} by {run.task}")
        label = spec.get("requiredLabel")
        if label and label not in run.minion.labels:
            self.broken(f"ROUTE label {run.task} on {run.minion.id}")
        most = spec.get("maxPerServer")
        beside = [
            item for item in run.minion.runs if item.rsplit(".", 1)[0] == f"{job_id}.0.{step}"
        ]
        if most and len(beside) > most:
            self.broken(f"ROUTE maxPerServer {run.task} on {run.minion.id}: {beside}")
        for earlier in spec.get("after", []):
            for index in range(job.body["steps"][earlier]["count"]):
                runs = self.all_runs.get(f"{job_id}.0.{earlier}.{index}", [])
                if not any(item.how == "done" for item in runs):
                    self.broken(f"ORDER {run.task} before {earlier}.{index}")

    def make_job(self, number: int) -> Job:
        """Return a random job."""
        rnd = self.random
        steps = []
        for step in range(rnd.choice([1, 1, 2, 3])):
            fields = {
                "count": rnd.choice([1, 2, 4, 8]),
                "cpu": rnd.choice([0, 4000, 8000, 14_000]),
                "memMb": 64,
                "estimateMs": rnd.choice([60, 200, 400]),
            }
            if not fields["cpu"]:
                del fields["cpu"]
            if step and rnd.random() < 0.8:
                fields["after"] = [step - 1]
            if rnd.random() < 0.25:
                fields["requiredLabel"] = rnd.choice(["a", "b"])
            if rnd.random() < 0.3:
                fields["maxPerServer"] = rnd.choice([1, 2])
            if rnd.random() < 0.2:
                fields["affinity"] = "r1-1"
            steps.append(fields)
        body = {
            "spec": json.dumps({"factor": rnd.uniform(0.6, 1.4), "n": number}),
            "steps": steps,
            "bestEffort": True,
        }
        return Job(f"{self.seed:04x}{number:012x}", body, rnd.choice([1500, 1500, 4000]))

    async def play_job(self, job: Job) -> None:
        """Hand a job in, again after no answer or a 504, and check what was rejected."""
        for _ in range(4):
            daemon = self.random.choice(self.cluster.daemons)
            job.statuses.append(-1)
            status = await self.send(daemon, job)
            job.statuses[-1] = status
            self.answers[status] = self.answers.get(status, 0) + 1
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RETRY_SECONDS)
        if job.statuses and all(status in REJECTED for status in job.statuses):
            started = [task for task in self.all_runs if task.startswith(job.id)]
            if started:
                self.broken(f"REFUSED {job.id} {job.statuses} {started}")

    async def send(self, daemon: object, job: Job) -> int:
        """Send a job once and return the status, 0 if there was no answer."""
        patience = job.deadline_ms / 1000 + 0.5
        if self.random.random() < 0.05:
            patience = self.random.uniform(0.02, 0.5)
        url = f"http://{daemon.settings['listen']}{PREFIX}{job.id}"
        headers = {"Host": ROUTE_HOST, "X-Deadline-Ms": str(job.deadline_ms)}
        try:
            async with self.cluster.session.post(
                url, json=job.body, headers=headers, timeout=ClientTimeout(total=patience)
            ) as response:
                body = await response.json()
                self.record.add("client", f"{job.id} {daemon.name} {response.status} {body}")
                if response.status == 200 and body["state"] == "completed":
                    self.check_completed(job)
                return response.status
        except (ClientError, TimeoutError, OSError) as error:
            self.record.add("client", f"{job.id} {daemon.name} {error!r}")
            return 0

    def check_completed(self, job: Job) -> None:
        """Check that all tasks of a completed job are done."""
        for number, step in enumerate(job.body["steps"]):
            for index in range(step["count"]):
                runs = self.all_runs.get(f"{job.id}.0.{number}.{index}", [])
                if not any(run.how == "done" for run in runs):
                    self.broken(f"MIXED {job.id} completed without {number}.{index}")

    async def pause(self, daemon, seconds: float) -> None:
        """Stop a process for some seconds."""
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        daemon.send(signal.SIGCONT)

    async def restart(self, daemon, number: signal.Signals) -> None:
        """End a process with a signal and start it again."""
        daemon.send(number)
        await daemon.process.wait()
        self.record.add(daemon.name, f"ended with {daemon.process.returncode}")
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await daemon.start()

    async def trouble(self) -> None:
        """Play one random trouble."""
        rnd, cluster = self.random, self.cluster
        kind = rnd.choice(self.kinds)
        self.record.add("trouble", kind)
        daemon = rnd.choice(cluster.daemons)
        if rnd.random() < 0.6:
            daemon = cluster.scheduler() or daemon
        minion = rnd.choice(cluster.minions)
        if daemon in self.busy or minion in self.busy:
            return
        taken = minion if kind in ("crash", "cut", "shrink", "late") else daemon
        self.busy.add(taken)
        if kind == "pause":
            await self.pause(daemon, rnd.choice([0.3, 0.5, 0.6, 0.8, 1.0, 1.5, 3.5]))
        elif kind == "kill":
            await self.restart(daemon, signal.SIGKILL)
        elif kind == "term":
            await self.restart(daemon, signal.SIGTERM)
        elif kind == "crash":
            await minion.crash()
            await asyncio.sleep(rnd.choice([0.05, 0.2, 0.5, 1.0, 3.0]))
            await minion.start()
        elif kind == "cut":
            minion.is_cut = True
            await asyncio.sleep(rnd.choice([0.3, 0.7, 1.0, 3.0]))
            minion.is_cut = False
        elif kind == "shrink":
            self.resize(minion, rnd.choice([16_000, 20_000]))
            await asyncio.sleep(rnd.choice([3.0, 6.0, 8.0]))
            self.resize(minion, 32_000)
        elif kind == "late":
            for item in cluster.minions:
                item.late_share = 0.055
            await asyncio.sleep(4.0)
            for item in cluster.minions:
                item.late_share = 0.0
        elif kind == "oneway":
            cluster.proxies[daemon.name].is_held = True
            await asyncio.sleep(rnd.choice([0.3, 0.5, 0.7, 1.0, 2.0, 5.5]))
            cluster.proxies[daemon.name].is_held = False
        elif kind == "delay":
            cluster.proxies[daemon.name].delay = rnd.choice([0.1, 0.2, 0.3, 0.45, 0.6])
            await asyncio.sleep(rnd.choice([1.0, 3.0, 5.0]))
            cluster.proxies[daemon.name].delay = 0.0
        elif kind == "silent":
            for proxy in cluster.proxies.values():
                proxy.silence()
        elif kind == "store":
            cluster.store.refused = {item.name for item in cluster.daemons}
            await asyncio.sleep(rnd.choice([1.0, 4.0]))
            cluster.store.refused = set()
        self.busy.discard(taken)

    def resize(self, minion, cpu: int) -> None:
        """Change the room of a minion, which it reports at once."""
        self.rooms.setdefault(minion.id, []).append((self.record.now(), minion.cpu))
        minion.cpu = cpu
        minion.report()

    async def play(self) -> None:
        """Send jobs and play troubles for some time."""
        self.kinds = os.environ.get(
            "KINDS", "pause kill term crash cut shrink late store pause kill"
        ).split()
        await self.cluster.start(
            [
                {
                    "labels": ["ab"[number % 2], f"r1-{number // 4}"],
                    "clock_rate": self.random.choice([0.98, 1.0]),
                }
                for number in range(int(os.environ.get("MINIONS", "10")))
            ]
        )
        await asyncio.sleep(1.0)
        end = self.record.now() + self.seconds
        tasks, number, next_trouble = [], 0, self.record.now() + 1.0
        while self.record.now() < end:
            job = self.make_job(number)
            self.jobs[job.id] = job
            number += 1
            tasks.append(asyncio.create_task(self.play_job(job)))
            if self.record.now() > next_trouble:
                tasks.append(asyncio.create_task(self.trouble()))
                next_trouble = self.record.now() + self.random.uniform(0.3, 2.5)
            await asyncio.sleep(self.random.expovariate(12.0))
        await asyncio.gather(*tasks)


async def run(seed: int, seconds: float) -> None:
    """Play one seed."""
    record = Record(Path(os.environ.get("RECORDS", Path(__file__).parent)) / f"explore-{seed}.txt")
    explorer = Explorer(seed, record, seconds)
    try:
        await explorer.play()
    finally:
        folder = os.environ.get("LOGS")
        if folder:
            for daemon in explorer.cluster.daemons:
                text = daemon.path.with_suffix(".log").read_bytes()
                Path(folder, f"{seed}-{daemon.name}.log").write_bytes(text)
        await explorer.cluster.close()
    print(seed, len(explorer.violations), explorer.answers, flush=True)


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), float(sys.argv[2])))
