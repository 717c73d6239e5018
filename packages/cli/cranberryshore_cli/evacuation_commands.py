"""Command that shows which instances of a pool have which evacuations in force."""

import asyncio
import re
from typing import ClassVar

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout
from cleo.commands.command import Command
from cleo.helpers import argument, option

from cranberryshore.messages import encode_json
from cranberryshore_cli.exits import OK, UNREACHABLE, UNSUCCESSFUL

CALL_TIMEOUT_SECONDS = 2.0
"""Time limit of an answer: an instance answers within a second even when it is overloaded."""

PREFIX = "cranberryshore_"
ZONE = re.compile(PREFIX + r'evacuated_zones\{zone="([^"]*)"\} 1(?:\.0)?')


@attrs.frozen
class InstanceEvacuations:
    """Evacuations in force at an instance.

    Parameters
    ----------
    revision : int
        Revision of the store as of which the zones are evacuated; 0 if none is known.
    age_seconds : float or None
        Time since this was known to be the newest state; ``None`` if it never was.
    """

    address: str
    is_answered: bool = True
    revision: int = 0
    zones: tuple[str, ...] = ()
    age_seconds: float | None = None


def parse_metrics(address: str, text: str) -> InstanceEvacuations:
    r"""Return the evacuations in force by the metrics of an instance.

    Examples
    --------
    >>> text = 'cranberryshore_evacuated_zones{zone="a"} 1.0\n'
    >>> text += 'cranberryshore_evacuated_zones{zone="b"} 0.0\n'
    >>> text += "cranberryshore_evacuations_revision 7.0\n"
    >>> parse_metrics("10.0.0.1:9100", text + "cranberryshore_evacuations_age_seconds 0.5").zones
    ('a',)
    """
    values = dict(line.rsplit(" ", 1) for line in text.splitlines() if line.startswith(PREFIX))
    age = float(values.get(PREFIX + "evacuations_age_seconds", "inf"))
    revision = int(float(values.get(PREFIX + "evacuations_revision", "0")))
    zones = tuple(sorted(match[1] for match in map(ZONE.fullmatch, text.splitlines()) if match))
    is_known = revision > 0 and age != float("inf")
    return InstanceEvacuations(address, True, revision, zones, age if is_known else None)


async def read_metrics(session: ClientSession, address: str) -> InstanceEvacuations:
    """Return the evacuations in force at an instance, by the address of its metrics."""
    try:
        async with session.get(f"http://{address}/metrics") as response:
            return parse_metrics(address, await response.text())
    except (ClientError, OSError, TimeoutError, ValueError):
        return InstanceEvacuations(address, is_answered=False)


async def read_all(addresses: list[str]) -> list[InstanceEvacuations]:
    """Return the evacuations in force at each of some instances."""
    async with ClientSession(timeout=ClientTimeout(total=CALL_TIMEOUT_SECONDS)) as session:
        return await asyncio.gather(*(read_metrics(session, address) for address in addresses))


class EvacuationsCommand(Command):
    """Shows which instances have which evacuations in force."""

    name = "evacuations"
    description = "Show which availability zones are evacuated at each instance of a pool."
    help = """Reads the metrics of the instances. The exit status is 1 if they differ in the zones,
and 3 if one does not answer."""
    arguments: ClassVar = [
        argument("address", "IP address and port of the metrics of an instance.", multiple=True)
    ]
    options: ClassVar = [option("json", None, "Print the result as JSON.")]

    def handle(self) -> int:
        """Run the command."""
        found = asyncio.run(read_all(self.argument("address")))
        if self.option("json"):
            self.line(encode_json(found).decode())
        else:
            rows = [_row(item) for item in found]
            self.render_table(["instance", "zones", "revision", "age (s)"], rows)
        if not all(item.is_answered for item in found):
            return UNREACHABLE
        return OK if len({item.zones for item in found}) == 1 else UNSUCCESSFUL


def _row(item: InstanceEvacuations) -> list[str]:
    if not item.is_answered:
        return [item.address, "no answer", "", ""]
    age = "" if item.age_seconds is None else f"{item.age_seconds:.1f}"
    return [item.address, ", ".join(item.zones) or "none", str(item.revision), age]
