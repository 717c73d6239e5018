import asyncio
import os
import subprocess
import threading
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGUSR1
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, mock

from cranberryshore_soak.processes import EXIT_TIMEOUT_SECONDS, DaemonProcess


class DaemonProcessTest(IsolatedAsyncioTestCase):
    async def test_start_of_a_thread_for_each_process_delayed_the_loop(self):
        # Regression: seed 203 on a busy machine, where the thread was started late.
        before = set(threading.enumerate())
        with TemporaryDirectory() as folder:
            daemons = [
                DaemonProcess(name, "a", {}, Path(folder), 0.0, 0.0, lambda _violation: None)
                for name in ("e0", "e1")
            ]
            for daemon in daemons:
                await daemon.start()
            self.assertEqual(set(threading.enumerate()) - before, set())
            async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                for daemon in daemons:
                    await daemon.close()

    async def test_signal_ended_a_process_that_did_not_handle_it_yet(self):
        # Regression: seed 4002 on a busy machine; processes took over 2 s to handle SIGUSR1.
        violations = []
        with TemporaryDirectory() as folder:
            daemon = DaemonProcess("e0", "a", {}, Path(folder), 0.0, 1.0, violations.append)
            await daemon.start()
            os.kill(daemon.process_id, SIGSTOP)
            daemon.send_handled(SIGUSR1)
            daemon.send_handled(SIGHUP)
            self.assertEqual(daemon.sent_signals, [])
            os.kill(daemon.process_id, SIGCONT)
            async with asyncio.timeout(30):
                while daemon.handling is None:
                    await asyncio.sleep(0.001)
                daemon.send_handled(SIGUSR1)
                daemon.send_handled(SIGHUP)
                await daemon.watcher
        self.assertEqual([number for _, number in daemon.sent_signals], [SIGUSR1, SIGHUP])
        self.assertIn("e0 exited unexpectedly with status 2", violations)

    async def test_signal_takes_the_exit_status_from_the_watcher(self):
        # Regression: seed 241 reported "e2 exited with status 255". A signal to a process that had
        # just exited collected its status before the watcher did.
        with TemporaryDirectory() as folder:
            daemon = DaemonProcess("e0", "a", {}, Path(folder), 0.0, 0.0, lambda _violation: None)
            await daemon.start()
            with mock.patch.object(subprocess.Popen, "poll") as poll:
                daemon.send(SIGCONT)
            poll.assert_not_called()
            await daemon.close()
