"""A caller gives a lock back at a control process that stands still, and dies. It comes back under
its own name and takes the lock at another process. The first process wakes. Is the lock still the
caller's until its time is over?"""

import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 3.0
HOLD_S = 10


def main():
    fleet = f.Fleet(HERE / "record.txt")
    try:
        for number, zone in enumerate(("halfway-tree", "newkingston", "portmore")):
            machine = fleet.add_machine(f"front_counter-{zone}-1", zone, 11 + number, has_disk=True)
            machine.start("control", first_run=True)
        first, second, third = fleet.machines
        others = f.Callers(fleet, [first.ip, third.ip])
        if others.until_answered("POST", "/api/numbers/n2", {}, for_s=30) is None:
            raise f.CannotRun("the core does not answer")
        time.sleep(3)

        def start(holder, for_s, hold_s=HOLD_S):
            sent = time.monotonic()
            answer = others.until_answered(
                "POST", "/api/locks/l1f/start", {"holder": holder, "hold-s": hold_s}, for_s=for_s
            )
            return sent, answer

        _, answer = start("a1.7", 10)
        if answer is None or answer[0] != 200:
            raise f.CannotRun("the lock was not given")
        fence = f.json.loads(answer[2])["fence-no"]
        frozen_at = time.monotonic()
        if TROUBLE:
            second.signal("control", signal.SIGSTOP)
        others.send_and_die(
            second.ip, "POST", "/api/locks/l1f/finish", {"holder": "a1.7", "fence-no": fence}
        )
        time.sleep(1.0)
        # The caller is back, keeps its name, and takes the lock at another node.
        while True:
            sent, answer = start("a1.7", 1.5)
            if answer is not None:
                break
            if time.monotonic() > frozen_at + FREEZE_S:
                raise f.CannotRun("no clear answer while one process stood still")
        if answer[0] != 200:
            raise f.CannotRun("the lock was not given again")
        fence = f.json.loads(answer[2])["fence-no"]
        time.sleep(0.5)
        renewed = time.monotonic()
        answer = others.until_answered(
            "POST", "/api/locks/l1f/beat",
            {"holder": "a1.7", "fence-no": fence, "hold-s": HOLD_S}, for_s=1.0,
        )
        if answer is not None and answer[0] == 200:
            sent = renewed
        held_until = sent + HOLD_S
        fleet.record.write(f"a1.7 is the holder for {HOLD_S} s since it sent its last call")
        time.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
        if TROUBLE:
            second.signal("control", signal.SIGCONT)
        taken = None
        while time.monotonic() < held_until - 1.0 and taken is None:
            _, answer = start("b2.3", 1.0, hold_s=3)
            if answer is not None and answer[0] == 200:
                taken = time.monotonic()
            time.sleep(0.2)
        if taken is None:
            return f.finish(fleet.record, False, "no other caller got the lock in the time")
        left = held_until - taken
        text = f"b2.3 got the lock {left:.1f} s before the end of the time of a1.7: two holders"
        return f.finish(fleet.record, left > 0, text)
    finally:
        fleet.close()


if __name__ == "__main__":
    f.run(main)
