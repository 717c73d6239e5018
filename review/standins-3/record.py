"""Record of what was sent, answered and run in a case."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Events with their times in seconds since the start, written as one line of JSON each."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_at = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, kind: str, **fields: Any) -> dict[str, Any]:
        """Add an event, and return it."""
        event = {"at": round(self.now(), 4), "kind": kind, **fields}
        self.events.append(event)
        return event

    def of(self, kind: str) -> list[dict[str, Any]]:
        """Return the events of a kind."""
        return [event for event in self.events if event["kind"] == kind]

    def write(self) -> None:
        """Write all events."""
        lines = [json.dumps(event) for event in self.events]
        self.path.write_text("\n".join(lines) + "\n", encoding="utf-8")
