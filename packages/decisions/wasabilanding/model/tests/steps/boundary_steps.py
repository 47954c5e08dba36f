"""Steps for the restrictions on decision packages."""

import ast
import pathlib

import behave

ROOT = pathlib.Path("packages/decisions/wasabilanding")
ALLOWED = frozenset(
    (
        "__future__",
        "bisect",
        "collections",
        "dataclasses",
        "enum",
        "functools",
        "hashlib",
        "heapq",
        "itertools",
        "json",
        "math",
        "operator",
        "pydantic",
        "random",
        "re",
        "statistics",
        "typing",
        "wasabilanding",
        "zlib",
    )
)


def _modules():
    for path in sorted(ROOT.rglob("*.py")):
        if "tests" not in path.parts:
            yield path, ast.parse(path.read_text())


def _imported(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def _random_calls(tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.Attribute) or node.attr == "Random":
            continue
        if isinstance(node.value, ast.Name) and node.value.id == "random":
            yield node.attr


@behave.when("all modules of the decision packages are parsed")
def read(context):
    """Parse the modules."""
    context.modules = list(_modules())
    assert context.modules


@behave.then("none of them imports a module that is not allowed")
def check_imports(context):
    """Compare the imports with the allowed list."""
    for path, tree in context.modules:
        for name in _imported(tree):
            assert name.split(".")[0] in ALLOWED, f"{path}: {name}"


@behave.then("none of them uses the global random number generator")
def check_random(context):
    """Look for uses of the random module other than its class."""
    for path, tree in context.modules:
        used = list(_random_calls(tree))
        assert not used, f"{path}: random.{used}"
