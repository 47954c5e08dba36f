"""Builds target/deps, the code that an entry VM runs.

Libraries are reinstalled only if the requirements changed. The project's own
packages are copied on each run, so that they always match the sources.
"""

import compileall
import hashlib
import pathlib
import py_compile
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"
INSTALLED_DIGEST = ROOT / "target" / "requirements"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
CONSTRAINTS = ROOT / "constraints.txt"
NAMESPACE = "wasabilanding"
PACKAGE_FOLDERS = (
    "packages/decisions",
    "packages/gateway",
    "packages/listening",
    "packages/logs",
    "packages/metadata",
    "packages/replies",
    "platform",
)


def _install_libraries() -> None:
    contents = REQUIREMENTS.read_bytes() + CONSTRAINTS.read_bytes()
    digest = hashlib.sha256(contents).hexdigest()
    if INSTALLED_DIGEST.exists() and INSTALLED_DIGEST.read_text() == digest:
        return
    shutil.rmtree(TARGET, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--target", str(TARGET), "--constraint", str(CONSTRAINTS)]
    command += ["--requirement", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    INSTALLED_DIGEST.write_text(digest)


def _copy_packages() -> None:
    shutil.rmtree(TARGET / NAMESPACE, ignore_errors=True)
    for folder in PACKAGE_FOLDERS:
        shutil.copytree(
            ROOT / folder / NAMESPACE,
            TARGET / NAMESPACE,
            ignore=shutil.ignore_patterns("tests", "__pycache__"),
            dirs_exist_ok=True,
        )


def main() -> int:
    """Build the folder and precompile its modules."""
    TARGET.mkdir(parents=True, exist_ok=True)
    _install_libraries()
    _copy_packages()
    # Modules compiled for a time of their source are compiled again at each
    # start if the folder was copied without its times. The folder is rebuilt
    # as a whole, so that no compiled module is older than its source.
    compileall.compile_dir(
        TARGET,
        quiet=2,
        workers=0,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
