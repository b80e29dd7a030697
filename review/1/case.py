"""An entry of another writer stands among the workers'; jobs must run all the same."""

import os
import sys
from asyncio import sleep
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import run_case
from lab import TROUBLE

BEFORE = "5c0e7a21d94b36f8"
AFTER = "6d1f8b32ea5c4709"
# A service that no manifest names, and an address as its writer understands it, without a port.
FOREIGN = {
    "service": "printing",
    "address": "127.0.0.1",
    "zone": "a",
    "version": "9",
    "slots": 1,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
    "capacity": {"cpu": 4000, "memMb": 8000},
    "labels": ["printer", "p1"],
}
# With KIND=bytes, an entry that can't be read stands there instead.
ENTRY = b"[" * 4096 if os.environ.get("KIND") == "bytes" else FOREIGN


async def case(lab):
    await lab.open(entries=3, workers=8)
    step = {"count": 2, "cpu": 2000, "memMb": 1000, "estimateMs": 500}
    work = [{"ms": 500, "cpu": 2000}]
    await lab.hand_in(BEFORE, [step], work)
    await sleep(3)
    if TROUBLE:
        lab.record.note("foreign-entry", value=ENTRY)
        lab.store.put("servers", "printer-7", ENTRY)
        await sleep(1)
    await lab.hand_in(AFTER, [step], work)
    await sleep(20)
    state = await lab.state(AFTER)
    ended = [each for each in lab.ends_of(AFTER) if each[4] == "done"]
    if state != "completed" and not ended:
        return [f"LOST: nothing of {AFTER} ran in 20 s beside 8 idle workers; it is {state}"]
    return []


run_case(__file__, case)
