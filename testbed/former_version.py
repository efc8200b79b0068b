"""Packages of an earlier commit, to run them beside those of this version."""

import io
from pathlib import Path
import subprocess
import tarfile

ROOT = Path(__file__).resolve().parents[1]


def unpack_packages(commit: str, folder: Path) -> None:
    """Write the package of a commit of this repository to a folder.

    :raises subprocess.CalledProcessError: if there is no such commit.
    """
    archive = subprocess.run(
        ['git', 'archive', commit, 'ibispitch'],
        cwd=ROOT, check=True, capture_output=True,
    ).stdout  # fmt: skip
    with tarfile.open(fileobj=io.BytesIO(archive)) as packed:
        packed.extractall(folder, filter='data')
