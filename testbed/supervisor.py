"""Starts and stops the processes of a deployment on loopback.

Only the demo, the measurements and the tests use it; the programs of
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
    """Manages child processes and their settings files.

    :param folder: folder for settings files and logs.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self._all_processes: list[subprocess.Popen] = []
        folder.mkdir(parents=True, exist_ok=True)

    def write_settings_file(self, name: str, settings: dict) -> Path:
        """Write a settings file and return its path."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))
        return path

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start ``python -m`` with arguments as a child process.

        :param name: name of the process and of its output file.
        """
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
        self._all_processes.append(process)
        return process

    def start_program(self, name: str, module: str, settings: dict):
        """Start a program of ibispitch with a settings file."""
        path = self.write_settings_file(name, settings)
        return self.start(name, module, '--config', str(path))

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a child process."""
        self.process_by_name[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a child process and wait until it has exited."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def stop_monitoring(self, name: str) -> None:
        """Stop monitoring a process that was asked to stop."""
        self.process_by_name.pop(name)

    def unexpected_exits(self) -> list[str]:
        """Return the names of monitored children that have exited."""
        return [
            name
            for name, process in self.process_by_name.items()
            if process.poll() is not None
        ]

    def output(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f'{name}.out').read_text(errors='replace')

    def kill_all(self) -> None:
        """Kill all children, also those that were asked to stop."""
        for process in self._all_processes:
            if process.poll() is None:
                process.kill()
        for process in self._all_processes:
            process.wait()
        self.process_by_name.clear()

    def stop_all(self) -> None:
        """Terminate all monitored children; kill those that do not exit."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.process_by_name.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.process_by_name.clear()
