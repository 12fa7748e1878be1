"""Names that leave the processes stay as they are, whatever the code around them is called."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
OUTER_NAMES: dict[str, dict[str, list[str]]] = tomllib.loads(
    (ROOT / "tests" / "outer_names.toml").read_text()
)


def literals(tree: ast.Module) -> set[str]:
    """Return the strings and bytes of a module, those of format strings in pieces, without doc comments."""
    doc_comments = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in doc_comments:
            if isinstance(node.value, str):
                found.add(node.value)
            elif isinstance(node.value, bytes):
                found.add(node.value.decode("latin-1"))
    return found


def declared_names(tree: ast.Module) -> set[str]:
    """Return the names of a module's classes and of their annotated fields."""
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            names.add(node.name)
            names.update(
                statement.target.id
                for statement in node.body
                if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name)
            )
    return names


def test_names_are_listed_for_adapter_config_and_wire_modules() -> None:
    expected = {
        "dunecove/adapter.py",
        "dunecove/config.py",
        "dunecove/wire/settings.py",
        "dunecove/wire/simulator.py",
    }
    assert expected < OUTER_NAMES.keys()


@pytest.mark.parametrize("module", OUTER_NAMES)
def test_outer_names_stay_letter_for_letter(module: str) -> None:
    tree = ast.parse((ROOT / module).read_text())
    found = literals(tree)
    missing = set(OUTER_NAMES[module].get("names", [])) - found - declared_names(tree)
    assert missing == set()
    missing_texts = [
        text for text in OUTER_NAMES[module].get("texts", []) if not any(text in literal for literal in found)
    ]
    assert missing_texts == []
