"""Start a small cluster on loopback, run a job and print its response."""

import json
import pathlib
import tempfile

from loadtool import cluster
from loadtool import layout

JOB = {
    "service": cluster.SERVICE,
    "deadline_ms": 5000,
    "tasks": [
        {"payload": {"car": "1999 Corolla"}},
        {"payload": {"car": "2004 Octavia"}},
    ],
}


def main() -> None:
    """Run the example."""
    plan = layout.Layout(entries=(2,), executors=(2,))
    with tempfile.TemporaryDirectory() as folder:
        print("Starting 3 keepers, 2 entry instances and 2 endpoints ...")
        target = cluster.Cluster(
            plan=plan, folder=pathlib.Path(folder), seed=1
        )
        with target:
            entry = target.entries[0]
            _, submission = target.call(
                entry, "POST", "/v1/submissions", {}, token=layout.TEAM_TOKEN
            )
            print(f"Submission {submission['submission']}")
            for node in target.entries:
                print(f"Sending the job to {node.name}")
                status, body = target.call(
                    node,
                    "POST",
                    "/v1/jobs",
                    JOB,
                    token=layout.TEAM_TOKEN,
                    key=submission["submission"],
                )
                print(f"Status {status}")
                print(json.dumps(body, indent=2))
            print("The second instance gave the answer of the one run.")
    print("Next steps: docs/operators/install.md and docs/API.md, or")
    print("  .venv/bin/chervilwheel-load run --scenario kill-entry")


if __name__ == "__main__":
    main()
