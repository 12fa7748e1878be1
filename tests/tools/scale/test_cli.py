"""Errors of the command line, and the proxy's independence of this tool."""

from __future__ import annotations

import subprocess
import sys

import pytest

from scale.cli import main


@pytest.mark.parametrize(
    "arguments",
    [
        ["slopes", "--sizes", "1000"],
        ["slopes", "--sizes", "10,no"],
        ["slopes", "--counts", "moon=1,2"],
        ["slopes", "--what", "routes"],
        ["slopes", "--repeats", "0"],
        ["slopes", "--json", "/nowhere/file.json"],
        ["load", "--rates", "-5"],
        ["load", "--listen", "here"],
        ["load", "--listen", "203.0.113.1:1", "--seconds", "0.1", "--rates", "20"],
        ["sing"],
    ],
)
def test_invalid_arguments_and_failures_are_reported_in_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    output = capsys.readouterr().err
    assert output.startswith("scale: ") and output.count("\n") == 1 and len(output) > 20


def test_the_proxy_imports_neither_the_tool_nor_its_libraries() -> None:
    code = "import sys, dunecove.__main__, dunecove.adapter; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert {"scale", "click", "numpy", "hdrh"}.isdisjoint(loaded.split())
    result = subprocess.run([sys.executable, "-m", "scale", "slopes", "--sizes", "1"], capture_output=True)
    assert result.returncode == 2 and result.stderr.count(b"\n") == 1
