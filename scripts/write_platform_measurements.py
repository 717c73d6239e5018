"""Writes docs/measurements/platform.md from the journal entries of the users' bench.

With ``--check``, nothing is written and the exit status is 1 if the page is out of date.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "measurements" / "platform.md"

HEAD = """# Scores on the users' platform

Written by `scripts/write_platform_measurements.py` from the entries in `journal/`, which the users'
bench writes. `worth` is the share of the amount owed that the day earned, less prices; the score is
limited to 1.0, and a day with a broken rule counts 0. A change under 0.03 of a site is noise. The
mean under trouble is the mean worth of all standard days except quiet ones.
"""


def entries() -> list[dict[str, Any]]:
    """Return the journal entries, ordered by start time."""
    loaded = [json.loads(path.read_text(encoding="utf-8")) for path in JOURNAL.glob("*.json")]
    return sorted(loaded, key=lambda entry: entry["at"][0])


def has_violation(day: dict[str, Any]) -> bool:
    """Return whether the day broke a rule or had a fault."""
    return bool(day["rules"]) or bool(day["fault"])


def score_tables(scores: list[dict[str, Any]]) -> list[str]:
    """Return a table per site, with a row per score and a column per standard day."""
    lines = []
    for site in sorted({entry["site"] for entry in scores}):
        rows = [entry for entry in scores if entry["site"] == site]
        names = [day["name"] for day in rows[0]["days"] if not day["name"].startswith("fresh")]
        lines += ["", f"## {site}: worth by day", ""]
        heads = ["time", "entry", "score", "gate", *names, "mean under trouble", "why"]
        lines.append("| " + " | ".join(heads) + " |")
        lines.append("| " + " | ".join(["---"] * len(heads)) + " |")
        for entry in rows:
            days = {day["name"]: day for day in entry["days"]}
            cells = [entry["at"][0][:16], entry["id"], f"{entry['score']:.3f}"]
            is_passed = all(day["gate"] for day in entry["days"])
            cells.append("passed" if is_passed else "failed")
            cells += [format_worth(days.get(name)) for name in names]
            trouble_worths = [
                days[name]["G"] for name in names if name in days and "quiet" not in name
            ]
            cells.append(f"{sum(trouble_worths) / max(len(trouble_worths), 1):.3f}")
            lines.append("| " + " | ".join([*cells, entry["why"] or ""]) + " |")
    return lines


def format_worth(day: dict[str, Any] | None) -> str:
    """Return the worth of a day and the rules that it broke."""
    if day is None:
        return "not played"
    violations = f" broke {', '.join(day['rules'])}" if has_violation(day) else ""
    return f"{day['G']:.3f}{violations}"


def hunt_table(hunts: list[dict[str, Any]]) -> list[str]:
    """Return the table of the bench's ``hunt`` runs."""
    lines = ["", "## Hunts", "", "| time | entry | site | days | broken | mean worth |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for entry in hunts:
        days = entry["days"]
        broken = [
            f"{day['name']} ({', '.join(day['rules'])})" for day in days if has_violation(day)
        ]
        mean = sum(day["G"] for day in days) / max(len(days), 1)
        cells = [entry["at"][0][:16], entry["id"], entry["site"], str(len(days))]
        lines.append("| " + " | ".join([*cells, "; ".join(broken) or "none", f"{mean:.3f}"]) + " |")
    return lines


def render_page() -> str:
    """Return the text of the page; runs without any day are left out."""
    known = [entry for entry in entries() if entry["days"]]
    scores = [entry for entry in known if entry["cmd"] == "score"]
    hunts = [entry for entry in known if entry["cmd"] == "hunt"]
    return "\n".join([HEAD.rstrip(), *score_tables(scores), *hunt_table(hunts)]) + "\n"


def main() -> int:
    """Write the page, or check that it is up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    text = render_page()
    if parser.parse_args().check:
        is_same = PAGE.exists() and PAGE.read_text(encoding="utf-8") == text
        print(f"{PAGE.name}: {'up to date' if is_same else 'not up to date'}")
        return 0 if is_same else 1
    PAGE.parent.mkdir(exist_ok=True)
    PAGE.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
