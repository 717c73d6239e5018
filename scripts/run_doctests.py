"""Runs the doctests of all packages."""

import doctest
import importlib
import pkgutil
import sys

PACKAGES = (
    "cranberryshore",
    "cranberryshored",
    "cranberryshore_cli",
    "cranberryshore_standins",
    "cranberryshore_proof",
    "cranberryshore_bench",
    "cranberryshore_soak",
    "cranberryshore_platform",
)


def main() -> int:
    """Run the doctests of every module; print the number passed and failed as the last line.

    Skips test and ``__main__`` modules. The exit status is 1 if a doctest fails or none is found.
    """
    failed = attempted = 0
    for name in PACKAGES:
        package = importlib.import_module(name)
        for module in pkgutil.walk_packages(package.__path__, f"{name}."):
            if module.name.endswith("__main__") or ".tests" in module.name:
                continue
            result = doctest.testmod(importlib.import_module(module.name))
            failed += result.failed
            attempted += result.attempted
    print(f"doctests: {attempted - failed} passed, {failed} failed")
    return 1 if failed or attempted == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
