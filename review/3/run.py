"""A configuration adds routes, with the prefixes /api/ and /. Clients send requests to the routes.
Does each success bear the target's stamp, and has its request run?"""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "hulo84.example"
FIRST = [(HOST, "/xapu221/ny95/", "guarded", "ledger")]
OTHER_HOST = "jepu9.example"
ADDED = FIRST + [(HOST, "/api/", "guarded", "ledger"), (OTHER_HOST, "/", "plain", "catalogue")]


def main():
    fleet = f.Fleet(HERE / "record.txt")
    try:
        for number, zone in enumerate(("halfway-tree", "newkingston", "portmore")):
            machine = fleet.add_machine(f"front_counter-{zone}-1", zone, 11 + number, has_disk=True)
            fleet.add_target("ledger", zone, 101 + number)
            fleet.add_target("catalogue", zone, 111 + number)
            machine.start("control", first_run=True)
            machine.start("data", first_run=True)
        callers = f.Callers(fleet, [machine.ip for machine in fleet.machines])
        order = f.configuration("r1", 0, FIRST, ["ledger", "catalogue"])
        answer = callers.until_answered("POST", "/api/config/put", order, for_s=30)
        if answer is None or answer[0] != 200:
            raise f.CannotRun("the first configuration was not taken")
        if TROUBLE:
            order = f.configuration("r2", "r1", ADDED, ["ledger", "catalogue"])
            answer = callers.until_answered("POST", "/api/config/put", order, for_s=30)
            if answer is None or answer[0] != 200:
                raise f.CannotRun("the second configuration was not taken")
        time.sleep(4)  # more than in-force-s
        requests = [("POST", HOST, "/xapu221/ny95/2f"), ("POST", HOST, "/xapu221/ny95/ready")]
        if TROUBLE:
            requests += [("POST", HOST, "/api/2f"), ("POST", HOST, "/api/ready")]
            requests += [("GET", OTHER_HOST, "/2f"), ("GET", OTHER_HOST, "/api/ready")]
        broken = served = 0
        for method, host, path in requests * 5:
            for machine in fleet.machines:
                request = f.try_id()
                body = b'{"markdown":"%s"}' % request.encode() if method == "POST" else None
                headers = {"Host": host, "X-Try-Id": request, "X-Deadline-Ms": "2500"}
                answer = f.call(
                    machine.ip, fleet.ports["front"], method, path, body, headers, timeout=3.0
                )
                status = answer and answer[0]
                stamp = answer and answer[1].get("x-postmark")
                runs = sum(
                    1 for target in fleet.targets for run in target.runs if run[0] == request
                )
                fleet.record.write(
                    f"client {request} {method} {host}{path} at {machine.ip} -> {status} stamp {stamp} "
                    f"body {answer and answer[2][:80]!r}; runs: {runs}"
                )
                if status is not None and 200 <= status < 300:
                    served += 1
                    if stamp != f.stamp(request) or runs != 1:
                        broken += 1
        if not served:
            raise f.CannotRun("no request was served")
        text = f"{broken} of {served} successes lack the target's stamp; their requests never ran"
        return f.finish(fleet.record, broken > 0, text)
    finally:
        fleet.close()


if __name__ == "__main__":
    f.run(main)
