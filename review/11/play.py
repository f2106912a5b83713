"""Case 11: with a valid configuration no entry host serves after a loss.

Exits with 1 if RECOVER is broken, 0 if it holds, 2 if the case can't run.
"""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lib_3 import world

FOLDER = pathlib.Path(__file__).resolve().parent
# The loss of one machine with a disk is to be borne.
DOWN_S = 1.0
BEFORE_S = 8.0
AFTER_S = 8.0
# An operator who doesn't want to give a job up.
PATIENT = 5_000_000_000
QUARTER = 0.25


class Client:
    """Hands jobs in at one entry host, one after the other."""

    def __init__(self, deployment: world.World, name: str) -> None:
        self._world = deployment
        self._name = name
        self.is_stopped = False
        # When each was sent, and whether it was answered with success.
        self.calls: list[tuple[float, bool]] = []

    def run(self) -> None:
        """Hand in ten jobs of one queue, then one of the other."""
        number = 0
        while not self.is_stopped:
            number += 1
            queue = "patient" if number % 11 == 0 else "peek"
            job = world.new_id()
            sent_at = time.monotonic()
            self._world.record.add("sent", self._name, queue, job)
            status, _ = self._world.call(
                self._name, "front", "POST", f"/{queue}/{job}", world.job()
            )
            self._world.record.add("answered", self._name, job, status)
            self.calls.append((sent_at, status == 200))
            time.sleep(0.1)


def served(clients: list[Client], since: float, until: float) -> float:
    """Return the share of the calls sent in a time that were served."""
    results = [
        is_served
        for client in clients
        for sent_at, is_served in client.calls
        if since <= sent_at < until
    ]
    return sum(results) / max(1, len(results))


def lose_disk(deployment: world.World) -> None:
    """Kill the control host that leads, and start it with an empty disk."""
    name = deployment.leader()
    deployment.kill(name)
    deployment.wipe(name)
    time.sleep(DOWN_S)
    deployment.start(name)


def play(deployment: world.World) -> int:
    """Play the case; return the exit code."""
    deployment.start_hosts()
    for zone in world.ZONES:
        deployment.start_executors(zone, count=2)
    routes = [
        world.route("peek"),
        world.route("patient", maxAttempts=PATIENT, priority=1),
    ]
    if not deployment.put_config(world.config(1, routes)):
        raise world.CannotRunError("the configuration isn't accepted")
    deployment.await_ready()
    time.sleep(3.0)
    clients = [Client(deployment, name) for name in deployment.entries]
    threads = [
        threading.Thread(target=each.run, daemon=True) for each in clients
    ]
    for thread in threads:
        thread.start()
    began_at = time.monotonic()
    time.sleep(BEFORE_S)
    # The final fault strikes right after one more change was acknowledged.
    routes[0]["timeoutMs"] = 1600
    if not deployment.put_config(world.config(2, routes)):
        raise world.CannotRunError("the change isn't acknowledged")
    fault_at = time.monotonic()
    if os.environ.get("TROUBLE") != "0":
        lose_disk(deployment)
    recovered_at = time.monotonic() + world.RECOVERY_S
    time.sleep(world.RECOVERY_S + AFTER_S)
    for client in clients:
        client.is_stopped = True
    for thread in threads:
        thread.join()
    for name in deployment.entries:
        status, _ = deployment.call(name, "ready", "GET", "/v1/readiness")
        deployment.record.add("readiness", name, status)
    before = served(clients, began_at, fault_at)
    after = served(clients, recovered_at, time.monotonic())
    deployment.record.add("served", round(before, 3), round(after, 3))
    print(f"served {before:.1%} before, {after:.1%} after the recovery")
    if before < QUARTER:
        raise world.CannotRunError("too little is served before the fault")
    return int(after < QUARTER)


if __name__ == "__main__":
    sys.exit(world.main(FOLDER, play))
