"""Demonstration of a deployment on loopback.

It submits a few requests, takes a zone out of service and puts it back.
"""

import base64
import hashlib
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from persimmonyard.standin.deployment import Deployment

__all__ = ["main"]

CONTROL_COUNT = 3
ENTRY_COUNT = 2
CLIENT_TOKEN = "clinic-token-for-loopback"
ZONES = ("karen-bench", "ngong-store", "thika-annex", "westlands-clinic")
UPSTREAMS_PER_ZONE = 2
START_DEADLINE_S = 60.0
POLL_S = 0.5

FLEET_TEMPLATE = """
[zones.karen-bench]
[zones.ngong-store]
[zones.thika-annex]
[zones.westlands-clinic]

[classes.fit-check]
within_s = 900.0
start_within_s = 7.3

[classes.sculpt]
done_by = "06:00"

[accounts.clinic]
token_hashes = ["{digest}"]
max_waiting = 100
guarantee = [{{gang = 4, accelerators = 2, cores = 8, memory_mb = 16384}}]

[accounts.bench-carvers]
guarantee = [{{gang = 1, accelerators = 4, cores = 8, memory_mb = 16384}}]
"""


class DemoFailedError(Exception):
    """A step of the demonstration failed or gave a wrong result."""


class Demo:
    """The steps of the demonstration."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._deployment = Deployment(
            folder, controls=CONTROL_COUNT, entries=ENTRY_COUNT
        )

    def run(self) -> None:
        """Run all steps and stop the deployment."""
        try:
            self._deployment.start()
            self._start_upstreams()
            self._write_cli_settings()
            self._await_upstreams()
            self._apply_fleet()
            self._submit_fit_check()
            self._submit_gang()
            self._take_zone_out_and_back()
            self._cli("status")
            self._stop()
        finally:
            self._deployment.stop()

    def _start_upstreams(self) -> None:
        for zone in ZONES:
            for number in range(UPSTREAMS_PER_ZONE):
                name = f"up-{zone}-{number + 1}"
                self._deployment.start_upstream(name, zone, "rack-1")

    def _write_cli_settings(self) -> None:
        urls = json.dumps(self._deployment.entry_urls())
        lines = [
            f"urls = {urls}",
            f'token = "{CLIENT_TOKEN}"',
            f'operator_token = "{self._deployment.operator_token}"',
        ]
        (self._folder / "cli.toml").write_text("\n".join(lines) + "\n")

    def _await_upstreams(self) -> None:
        """Wait until all upstreams are known.

        Guarantees are accepted only if there is capacity for them.
        """
        deadline = time.monotonic() + START_DEADLINE_S
        while time.monotonic() < deadline:
            status = json.loads(self._run("--json", "status"))
            if len(status["upstreams"]) == len(ZONES) * UPSTREAMS_PER_ZONE:
                return
            time.sleep(POLL_S)
        raise DemoFailedError("not all upstreams announced themselves in time")

    def _apply_fleet(self) -> None:
        digest = hashlib.sha256(CLIENT_TOKEN.encode()).hexdigest()
        path = self._folder / "fleet.toml"
        path.write_text(FLEET_TEMPLATE.format(digest=digest))
        self._cli("apply", str(path), "--wait")
        self._cli("account", "list")

    def _submit_fit_check(self) -> None:
        payload = json.dumps({"run_s": 0.1, "foot": "left"})
        request = self._submit("fit-check-1", payload, "--accelerators", "1")
        self._check_answers(request, payload, 1)
        self._cli("explain", request["request"])

    def _submit_gang(self) -> None:
        payload = json.dumps({"run_s": 0.5, "last": "size 42"})
        request = self._submit("gang-1", payload, "--gang", "4", "--accelerators", "2")
        self._check_answers(request, payload, 4)

    def _take_zone_out_and_back(self) -> None:
        self._cli("zone", "out", ZONES[0], "--wait")
        payload = json.dumps({"run_s": 0.1, "foot": "right"})
        request = self._submit("fit-check-2", payload, "--accelerators", "1")
        self._check_answers(request, payload, 1)
        self._check_zone_avoided(request["request"], ZONES[0])
        self._cli("zone", "in", ZONES[0], "--wait")

    def _submit(self, key: str, payload: str, *options: str) -> dict[str, Any]:
        output = self._cli(
            "--json", "submit", "--class", "fit-check", "--key", key,
            "--payload", payload, "--run-s", "1", "--idempotent",
            "--wait-s", "60", *options,
        )  # fmt: skip
        result: dict[str, Any] = json.loads(output)
        return result

    def _check_answers(
        self, request: dict[str, Any], payload: str, members: int
    ) -> None:
        expected = []
        for member in range(members):
            expected.append(f"answer:{member}:{payload}")
        found = []
        for answer in request["answers"]:
            found.append(base64.b64decode(answer["body"]).decode())
        if found != expected:
            raise DemoFailedError(f"expected {expected}, got {request}")

    def _check_zone_avoided(self, request_id: str, zone: str) -> None:
        explanation = json.loads(self._cli("--json", "explain", request_id))
        for attempt in explanation["attempts"]:
            for upstream in attempt["upstreams"]:
                if upstream.startswith(f"up-{zone}-"):
                    raise DemoFailedError(f"{request_id} ran in {zone}")

    def _stop(self) -> None:
        """Stop all daemons and check that they exit with status 0."""
        names = [f"entry-{n + 1}" for n in range(ENTRY_COUNT)]
        names += [f"control-{n + 1}" for n in range(CONTROL_COUNT)]
        for name in names:
            status = self._deployment.stop_process(name)
            print(f"{name} stopped with status {status}")
            if status != 0:
                raise DemoFailedError(f"{name} ended with status {status}")

    def _cli(self, *arguments: str) -> str:
        """Run a command of the command line, and print it and its output."""
        output = self._run(*arguments)
        print(f"$ persimmonyard {' '.join(arguments)}")
        print(output, flush=True)
        return output

    def _run(self, *arguments: str) -> str:
        command = [sys.executable, "-m", "persimmonyard.cli.main", *arguments]
        settings = str(self._folder / "cli.toml")
        environment = os.environ | {"PERSIMMONYARD_CONFIG": settings}
        completed = subprocess.run(
            command, capture_output=True, text=True, check=False, env=environment
        )
        if completed.returncode != 0:
            raise DemoFailedError(completed.stderr)
        return completed.stdout


def main() -> int:
    """Run the demonstration and return the exit status."""
    with tempfile.TemporaryDirectory() as name:
        try:
            Demo(Path(name)).run()
        except (DemoFailedError, TimeoutError) as error:
            print(f"demo failed: {error}", file=sys.stderr)
            for log in sorted(Path(name).glob("*.log")):
                print(f"--- {log.name}", file=sys.stderr)
                print("\n".join(log.read_text().splitlines()[-30:]), file=sys.stderr)
            return 1
    print("demo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
