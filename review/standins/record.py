"""Record of what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, source: str, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():8.3f} {source}: {text}\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
