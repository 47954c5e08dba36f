"""Sources of an earlier commit of this repository, to run beside today's."""

import io
import os
import pathlib
import subprocess
import tarfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[5]
SYSTEM_FILE = ROOT / "deploy" / "system.toml"
# Folders that hold the sources of all programs.
FOLDERS = ("packages", "platform", "deploy")
# Before the sources that are installed in the virtual environment.
SEARCH_PATH = "PYTHONPATH"


class MissingHistory(Exception):
    """The repository does not hold the commit."""


def production_commit() -> str:
    """Return the commit that is in production."""
    return tomllib.loads(SYSTEM_FILE.read_text())["production"]


def extract(
    commit: str, folder: pathlib.Path, repository: pathlib.Path = ROOT
) -> None:
    """Write the sources of a commit to a folder.

    :param commit: the commit.
    :param folder: an empty folder.
    :param repository: folder of the repository.
    :raises MissingHistory: if they are not in the repository.
    """
    command = ["git", "-C", str(repository), "archive", commit, *FOLDERS]
    try:
        found = subprocess.run(command, capture_output=True, check=True)
    except FileNotFoundError:
        raise MissingHistory("git is not installed") from None
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode(errors="replace").strip()
        raise MissingHistory(
            f"commit {commit} is not in {repository} ({reason}): the test "
            "needs the repository with its whole history, no shallow clone"
        ) from None
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")


def environment(folder: pathlib.Path) -> dict[str, str]:
    """Return the variables with which Python runs extracted sources.

    Third-party libraries are those of the virtual environment.

    :param folder: folder of the sources.
    """
    projects = [*sorted(folder.glob("packages/*")), folder / "platform"]
    return {SEARCH_PATH: os.pathsep.join(map(str, projects))}
