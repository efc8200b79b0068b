"""Starts and stops the processes of a deployment on loopback.

Used by the demo, the measurements and the tests only; the programs of
ibispitch start no processes.
"""

import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import time

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 10.0


class Supervisor:
    """Owns child processes and their settings files.

    :param folder: where settings and logs go.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self._started: list[subprocess.Popen] = []
        folder.mkdir(parents=True, exist_ok=True)

    def settings_file(self, name: str, settings: dict) -> Path:
        """Write a settings file and return its path."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))
        return path

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start ``python -m arguments`` and keep it under a name."""
        output = open(self.folder / f'{name}.out', 'ab')
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        output.close()
        self.process_by_name[name] = process
        self._started.append(process)
        return process

    def start_program(self, name: str, module: str, settings: dict):
        """Start a program of ibispitch with a settings file."""
        path = self.settings_file(name, settings)
        return self.start(name, module, '--config', str(path))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a child process and wait for its end."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def forget(self, name: str) -> None:
        """Stop watching a process that was asked to stop."""
        self.process_by_name.pop(name)

    def dead(self) -> list[str]:
        """Return the names of children that ended without being asked."""
        return [
            name
            for name, process in self.process_by_name.items()
            if process.poll() is not None
        ]

    def output(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.folder / f'{name}.out').read_text(errors='replace')

    def kill_all(self) -> None:
        """Kill all children, also those that were asked to stop."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
        for process in self._started:
            process.wait()
        self.process_by_name.clear()

    def stop_all(self) -> None:
        """Stop all children, gracefully at first."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        limit = time.monotonic() + STOP_TIMEOUT_S
        for process in self.process_by_name.values():
            try:
                process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.process_by_name.clear()
