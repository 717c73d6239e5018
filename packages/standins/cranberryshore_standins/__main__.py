"""Runs one stand-in process: ``python -m cranberryshore_standins KIND SETTINGS_FILE``."""

import sys

from cranberryshore_standins import instance_list, store, upstream, worker

KINDS = {
    "store": store.main,
    "instance-list": instance_list.main,
    "worker": worker.main,
    "upstream": upstream.main,
}

if __name__ == "__main__":
    KINDS[sys.argv[1]](sys.argv[2])
