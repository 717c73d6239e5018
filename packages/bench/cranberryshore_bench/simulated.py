"""The ideal and the baselines, computed for the same trace without any daemon.

The ideal is one all-knowing queue over all room of the zone with exact run times; the baselines
are entry instances that send each task at once to a worker, which queues what does not fit.
"""

from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from random import Random

import attrs

POLICIES = ("random", "round-robin", "two-choices")


@attrs.frozen
class Batch:
    """Tasks that arrive together; each needs one unit of room."""

    at: float
    run_seconds: tuple[float, ...]


@attrs.frozen
class Machine:
    """One worker or upstream: its units of room and its faults."""

    room: int
    slow_factor: float = 1.0
    fails_all: bool = False


@attrs.frozen
class Path:
    """Mean network delays in seconds: caller to entry, and entry to machine."""

    caller_seconds: float
    machine_seconds: float


@attrs.frozen
class Answer:
    """When a batch was answered whole, or that it failed; seconds since its arrival."""

    seconds: float
    is_complete: bool = True


def ideal(batches: Sequence[Batch], machines: Sequence[Machine], path: Path) -> list[Answer]:
    """Return the answers of one all-knowing queue over the healthy room.

    Within a batch the longest task goes first, and batches go in the order of arrival. Slow
    machines count with their slower speed and are used last; failing ones are not used.
    """
    free = [
        (0.0, machine.slow_factor)
        for machine in machines
        if not machine.fails_all
        for _ in range(machine.room)
    ]
    free.sort()
    overhead = 2 * (path.caller_seconds + path.machine_seconds)
    answers = []
    for batch in sorted(batches, key=lambda item: item.at):
        ended = batch.at
        for seconds in sorted(batch.run_seconds, reverse=True):
            at, factor = heappop(free)
            began = max(at, batch.at)
            ended = max(ended, began + seconds * factor)
            heappush(free, (began + seconds * factor, factor))
        answers.append(Answer(ended - batch.at + overhead))
    return answers


@attrs.define
class _MachineState:
    machine: Machine
    running: int = 0
    queue: deque = attrs.field(factory=deque)


@attrs.define
class _Simulation:
    """Entry instances that know only what they have sent themselves."""

    machines: list[_MachineState]
    choose: Callable[[int], int]
    path: Path
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


def baseline(
    policy: str,
    batches: Sequence[Batch],
    machines: Sequence[Machine],
    path: Path,
    entries: int,
    random: Random,
) -> list[Answer]:
    """Return the answers under one of ``POLICIES``."""
    simulation = _Simulation([_MachineState(machine) for machine in machines], lambda e: 0, path)
    simulation.choose = _chooser(policy, simulation, len(machines), random)
    answers: list[Answer | None] = [None] * len(batches)
    for number, batch in enumerate(batches):
        entry = number % entries

        def settle(answer: Answer, number: int = number) -> None:
            answers[number] = answer

        _arrive(simulation, batch, entry, settle)
    simulation.run()
    return [answer for answer in answers if answer is not None]


def _chooser(
    policy: str, simulation: _Simulation, count: int, random: Random
) -> Callable[[int], int]:
    turns: dict[int, int] = {}

    def in_turn(entry: int) -> int:
        turns[entry] = turns.get(entry, entry) + 1
        return turns[entry] % count

    def of_two(entry: int) -> int:
        one, other = random.randrange(count), random.randrange(count)
        held = simulation.outstanding
        return min((one, other), key=lambda machine: held.get((entry, machine), 0))

    choosers = {
        "random": lambda entry: random.randrange(count),
        "round-robin": in_turn,
        "two-choices": of_two,
    }
    return choosers[policy]


def _arrive(
    simulation: _Simulation, batch: Batch, entry: int, settle: Callable[[Answer], None]
) -> None:
    path = simulation.path
    left = [len(batch.run_seconds)]
    failed = [False]

    def ended(at: float, machine: int, fails: bool) -> None:
        simulation.outstanding[(entry, machine)] -= 1
        left[0] -= 1
        seconds = at + path.caller_seconds - batch.at
        if fails and not failed[0]:
            failed[0] = True
            settle(Answer(seconds, is_complete=False))
        elif left[0] == 0 and not failed[0]:
            settle(Answer(seconds))

    def at_entry(at: float) -> None:
        for seconds in batch.run_seconds:
            machine = simulation.choose(entry)
            key = (entry, machine)
            simulation.outstanding[key] = simulation.outstanding.get(key, 0) + 1
            task = (seconds, machine, ended)
            simulation.schedule(at + path.machine_seconds, _starter(simulation, task))

    simulation.schedule(batch.at + path.caller_seconds, at_entry)


def _starter(simulation: _Simulation, task: tuple) -> Callable[[float], None]:
    seconds, number, ended = task
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
        later = at + simulation.path.machine_seconds
        fails = state.machine.fails_all
        simulation.schedule(later, lambda now: ended(now, number, fails))

    return start
