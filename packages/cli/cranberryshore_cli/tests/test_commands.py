import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from cranberryshore_standins.cluster import (
    OPERATOR_TOKEN,
    Cluster,
    ClusterShape,
    caller_token,
)

SHAPE = ClusterShape(entries=2, workers=1, upstreams=1)


class CommandsTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.cluster = Cluster(SHAPE, self.path)
        await self.cluster.start()

    async def asyncTearDown(self):
        await self.cluster.close()
        self.folder.cleanup()

    async def run_command(self, *words, token=OPERATOR_TOKEN, entry=0):
        url = self.cluster.entries()[entry].url
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cranberryshore_cli.main",
            *words,
            env={**os.environ, "CRANBERRYSHORE_URL": url, "CRANBERRYSHORE_TOKEN": token},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, error = await process.communicate()
        return process.returncode, out.decode(), error.decode()

    def write(self, name, document):
        path = self.path / name
        path.write_text("// a comment\n" + json.dumps(document), encoding="utf-8")
        return str(path)

    async def test_resources_of_two_operators(self):
        spec = {"timeout_ms": 5000}
        file = self.write("a.json", {"kind": "service", "name": "booking", "spec": spec})
        status, out, _ = await self.run_command("apply", file, "--generation", "0")
        self.assertEqual((status, "generation 1" in out), (0, True))
        other = self.write("b.json", {"kind": "service", "name": "booking", "spec": {}})
        status, _, error = await self.run_command("apply", other, "--generation", "0", entry=1)
        self.assertEqual(status, 1)
        self.assertIn("operator changed it at", error)
        self.assertIn("timeout_ms is 5000", error)
        revision = out.split()[-1]
        status, out, _ = await self.run_command("rollout", revision, "--wait", "5")
        self.assertEqual(status, 0, out)
        status, out, _ = await self.run_command("get", "service", "--json")
        self.assertEqual(json.loads(out)["resources"][0]["spec"], spec)
        status, out, _ = await self.run_command("watch", "--once")
        self.assertIn("config/service/booking generation 1", out)
        bad = self.write("c.json", {"kind": "service", "name": "x", "spec": {"timeout_ms": 0}})
        status, _, error = await self.run_command("apply", bad)
        self.assertEqual((status, "$.timeout_ms" in error), (1, True))
        status, _, _ = await self.run_command("delete", "service", "booking")
        self.assertEqual(status, 0)

    async def test_explanation_from_log_files(self):
        common = {"job": "j", "level": "info", "outcome": "refused"}
        ended = {"event": "scheduler: Job ended.", "instance": "e2", "waited_ms": 445}
        ended |= {"waiting_jobs": 37, "timestamp": "2026-12-03T20:00:10Z"}
        answered = {"event": "entry: Caller answered.", "instance": "e1", "ms": 448}
        answered |= {"timestamp": "2026-12-03T20:00:10.1Z", "resumed": False}
        log_options = []
        for number, record in enumerate((ended, answered)):
            path = self.path / f"{number}.log"
            path.write_text(json.dumps(common | record) + "\n", encoding="utf-8")
            log_options += ["--log", str(path)]
        status, out, _ = await self.run_command("explain", "j", *log_options)
        self.assertEqual((status, "Cause: overload" in out), (0, True), out)
        status, _, _ = await self.run_command("explain", "j", "--log", str(self.path / "none"))
        self.assertEqual(status, 2)

    async def test_job_from_submission_to_explanation(self):
        task = {"demand": {"millicores": 500, "memory_mb": 10}, "expected_ms": 20}
        file = self.write("job.json", {"tasks": [task, task]})
        status, out, error = await self.run_command("submit", file, token=caller_token(0))
        self.assertEqual((status, "complete" in out), (0, True), error)
        id = error.split()[-1]
        status, out, _ = await self.run_command("status", id, token=caller_token(0), entry=1)
        self.assertIn("complete", out)
        status, out, _ = await self.run_command("timeline", "--job", id, entry=1)
        for kind in ("job_submitted", "tasks_started", "job_answered"):
            self.assertIn(kind, out)
        status, out, _ = await self.run_command("explain", id, entry=1)
        self.assertIn("started 2 tasks on worker-zone-a-0", out)
        status, out, _ = await self.run_command("status")
        self.assertEqual(status, 0)
        status, out, _ = await self.run_command("report", "--from", "0", "--json")
        rows = {row["kind"]: row for row in json.loads(out)["rows"]}
        self.assertEqual((rows["job"]["promised"], rows["job"]["kept"]), (1, 1))
        status, out, _ = await self.run_command("report", "--from", "2020-01-01")
        self.assertEqual((status, "default" in out), (0, True))
        status, _, error = await self.run_command("submit", self.write("x.json", {"tasks": [1]}))
        self.assertEqual((status, "$.tasks[0]" in error), (2, True))
