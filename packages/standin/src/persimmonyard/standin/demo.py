"""The demonstration: a deployment, a few requests, a zone out and back."""

import base64
import hashlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from persimmonyard.standin.deployment import Deployment

__all__ = ["main"]

CLIENT_TOKEN = "clinic-token-for-loopback"
ZONES = ("karen-bench", "ngong-store", "thika-annex", "westlands-clinic")


class DemoFailedError(Exception):
    """Something that the demonstration printed was wrong."""


class Demo:
    """The steps of the demonstration."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._deployment = Deployment(folder, controls=3, entries=2)

    def run(self) -> None:
        """Run all steps and stop the deployment."""
        try:
            self._deployment.start()
            self._start_upstreams()
            self._apply_fleet()
            self._fit_check()
            self._gang()
            self._zone_out_and_back()
            self._cli("status")
        finally:
            self._deployment.stop()

    def _start_upstreams(self) -> None:
        for number, zone in enumerate(ZONES):
            self._deployment.start_upstream(f"up-{number + 1}", zone, "rack-1")

    def _apply_fleet(self) -> None:
        digest = hashlib.sha256(CLIENT_TOKEN.encode()).hexdigest()
        changes: list[dict[str, Any]] = []
        for zone in ZONES:
            changes.append({"zone": {"name": zone}})
        changes.append({"work_class": {"name": "fit-check", "within_s": 900.0}})
        account = {"name": "clinic", "token_hashes": [digest]}
        changes.append({"client_account": account})
        path = self._folder / "fleet.json"
        path.write_text(json.dumps({"changes": changes}))
        self._cli("apply", str(path), "--wait")

    def _fit_check(self) -> None:
        payload = json.dumps({"run_s": 0.1, "foot": "left"})
        request = self._submit("fit-check-1", payload, "--accelerators", "1")
        self._check_answers(request, payload, 1)
        self._cli("explain", request["request"])

    def _gang(self) -> None:
        payload = json.dumps({"run_s": 0.5, "last": "size 42"})
        request = self._submit("gang-1", payload, "--gang", "4", "--accelerators", "2")
        self._check_answers(request, payload, 4)

    def _zone_out_and_back(self) -> None:
        self._cli("zone", "out", ZONES[0], "--wait")
        payload = json.dumps({"run_s": 0.1, "foot": "right"})
        request = self._submit("fit-check-2", payload, "--accelerators", "1")
        self._check_answers(request, payload, 1)
        self._cli("zone", "in", ZONES[0], "--wait")

    def _submit(self, key: str, payload: str, *options: str) -> dict[str, Any]:
        output = self._cli(
            "submit", "--class", "fit-check", "--key", key, "--payload", payload,
            "--run-s", "1", "--idempotent", "--wait-s", "60", *options,
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

    def _cli(self, *arguments: str) -> str:
        url = self._deployment.entry_url(1)
        command = [sys.executable, "-m", "persimmonyard.cli.main", "--json"]
        command += ["--url", url, "--token", CLIENT_TOKEN]
        command += ["--operator-token", self._deployment.operator_token, *arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        print(f"$ persimmonyard {' '.join(arguments)}")
        print(done.stdout, end="")
        if done.returncode != 0:
            raise DemoFailedError(done.stderr)
        return done.stdout


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
