"""Simulations of an ideal scheduler and of baseline policies, for comparison with the daemons.

The ideal scheduler has one queue over all slots of the zone and knows the exact run times. Under a
baseline policy, each entry instance sends a task at once to a worker, which queues the tasks that
exceed its slots.
"""

from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from random import Random

import attrs

POLICIES = ("random", "round-robin", "two-choices")


@attrs.frozen
class Batch:
    """The tasks of a job, or a request as a single task; each needs one slot."""

    at: float
    run_seconds: tuple[float, ...]


@attrs.frozen
class Machine:
    """One worker or upstream: its number of slots (``room``) and its faults."""

    room: int
    slow_factor: float = 1.0
    fails_all: bool = False


@attrs.frozen
class NetworkPath:
    """Mean one-way network delays in seconds: caller to entry, and entry to machine."""

    caller_seconds: float
    machine_seconds: float


@attrs.frozen
class Answer:
    """The response time of a batch, or the time until its first task failed."""

    seconds: float
    is_complete: bool = True


def simulate_ideal(
    batches: Sequence[Batch], machines: Sequence[Machine], path: NetworkPath
) -> list[Answer]:
    """Return the answers of the ideal scheduler.

    Batches start in the order of arrival, the longest task of a batch first. Each task takes the
    slot that is free first, of several such slots one on the fastest machine. Slow machines run at
    their reduced speed; failing ones are not used.
    """
    free_slots = [
        (0.0, machine.slow_factor)
        for machine in machines
        if not machine.fails_all
        for _ in range(machine.room)
    ]
    free_slots.sort()
    overhead = 2 * (path.caller_seconds + path.machine_seconds)
    answers = []
    for batch in sorted(batches, key=lambda item: item.at):
        end_time = batch.at
        for seconds in sorted(batch.run_seconds, reverse=True):
            at, factor = heappop(free_slots)
            start_time = max(at, batch.at)
            end_time = max(end_time, start_time + seconds * factor)
            heappush(free_slots, (start_time + seconds * factor, factor))
        answers.append(Answer(end_time - batch.at + overhead))
    return answers


@attrs.define
class _MachineState:
    machine: Machine
    running: int = 0
    queue: deque = attrs.field(factory=deque)


@attrs.define
class _Simulation:
    """Discrete-event simulation of entry instances that each know only the tasks they have sent.

    ``events`` is a heap of time, sequence number (``count`` is the last) and action;
    ``outstanding`` counts the unfinished tasks by entry and machine.
    """

    machines: list[_MachineState]
    choose_machine: Callable[[int], int]
    path: NetworkPath
    events: list = attrs.field(factory=list)
    count: int = 0
    outstanding: dict[tuple[int, int], int] = attrs.field(factory=dict)

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        self.count += 1
        heappush(self.events, (at, self.count, action))

    def run(self) -> None:
        while self.events:
            at, _, action = heappop(self.events)
            action(at)


def simulate_baseline(
    policy: str,
    batches: Sequence[Batch],
    machines: Sequence[Machine],
    path: NetworkPath,
    entries: int,
    random: Random,
) -> list[Answer]:
    """Return the answers under one of ``POLICIES``."""
    simulation = _Simulation([_MachineState(machine) for machine in machines], lambda e: 0, path)
    # Replaces the placeholder: the policies read the simulation's outstanding tasks.
    simulation.choose_machine = _chooser(policy, simulation, len(machines), random)
    answers: list[Answer | None] = [None] * len(batches)
    for number, batch in enumerate(batches):
        entry = number % entries

        def record_answer(answer: Answer, number: int = number) -> None:
            answers[number] = answer

        _schedule_batch(simulation, batch, entry, record_answer)
    simulation.run()
    return [answer for answer in answers if answer is not None]


def _chooser(
    policy: str, simulation: _Simulation, count: int, random: Random
) -> Callable[[int], int]:
    last_choices: dict[int, int] = {}

    def round_robin(entry: int) -> int:
        last_choices[entry] = last_choices.get(entry, entry) + 1
        return last_choices[entry] % count

    def less_loaded_of_two(entry: int) -> int:
        first, second = random.randrange(count), random.randrange(count)
        held = simulation.outstanding
        return min((first, second), key=lambda machine: held.get((entry, machine), 0))

    choosers = {
        "random": lambda entry: random.randrange(count),
        "round-robin": round_robin,
        "two-choices": less_loaded_of_two,
    }
    return choosers[policy]


def _schedule_batch(
    simulation: _Simulation, batch: Batch, entry: int, record_answer: Callable[[Answer], None]
) -> None:
    path = simulation.path
    left = [len(batch.run_seconds)]
    failed = [False]

    def on_task_end(at: float, machine: int, fails: bool) -> None:
        simulation.outstanding[(entry, machine)] -= 1
        left[0] -= 1
        seconds = at + path.caller_seconds - batch.at
        if fails and not failed[0]:
            failed[0] = True
            record_answer(Answer(seconds, is_complete=False))
        elif left[0] == 0 and not failed[0]:
            record_answer(Answer(seconds))

    def send_tasks(at: float) -> None:
        for seconds in batch.run_seconds:
            machine = simulation.choose_machine(entry)
            key = (entry, machine)
            simulation.outstanding[key] = simulation.outstanding.get(key, 0) + 1
            task = (seconds, machine, on_task_end)
            simulation.schedule(at + path.machine_seconds, _task_starter(simulation, task))

    simulation.schedule(batch.at + path.caller_seconds, send_tasks)


def _task_starter(simulation: _Simulation, task: tuple) -> Callable[[float], None]:
    seconds, number, on_task_end = task
    state = simulation.machines[number]

    def start(at: float) -> None:
        if state.running >= state.machine.room:
            state.queue.append(start)
            return
        state.running += 1
        simulation.schedule(at + seconds * state.machine.slow_factor, stop)

    def stop(at: float) -> None:
        state.running -= 1
        if state.queue:
            state.queue.popleft()(at)
        completed_at = at + simulation.path.machine_seconds
        fails = state.machine.fails_all
        simulation.schedule(completed_at, lambda now: on_task_end(now, number, fails))

    return start
