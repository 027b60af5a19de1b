"""Tests of the tool against a complete daemon."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.tests.callers.fakes import running_assembly
from heatherhead.tests.commands.fakes import Tool

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

    from heatherhead.tests.commands.fakes import ToolResult

EPHEMERAL_PORT = {"listen": {"port": 0}}
STOCK = {
    "name": "stock",
    "path_prefixes": ["/"],
    "upstreams": [
        {"id": "u1", "host": "127.0.0.1", "port": 1},
        {"id": "u2", "host": "127.0.0.1", "port": 2},
    ],
}


def test_tool_operates_a_complete_daemon(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    document = tmp_path / "stock.json"
    document.write_text(json.dumps(STOCK))

    async def scenario() -> None:
        async with running_assembly(
            {"callers": EPHEMERAL_PORT, "operators": EPHEMERAL_PORT, "membership": EPHEMERAL_PORT}
        ) as assembly:
            tool = Tool([assembly.operators.address], capsys)

            async def run(*words: str) -> ToolResult:
                done = await asyncio.to_thread(tool.run, *words, "--json")
                assert done.code == ExitCode.DONE, done.err
                return done

            await run("services", "put", str(document), "--yes", "--wait")
            drained = json.loads(
                (await run("upstreams", "drain", "stock", "u1", "--yes", "--wait")).out
            )
            assert drained["missing"] == []
            listed = json.loads((await run("upstreams", "list", "stock", "--all")).out)
            states = {each["upstream"]["id"]: each["state"] for each in listed}
            assert states["u1"] == "draining"
            assert states["u2"] != "draining"
            status = json.loads((await run("config", "status")).out)
            assert (status["revision"], status["missing"]) == (drained["revision"], [])
            instances = json.loads((await run("instances")).out)["instances"]
            assert [each["applied_revision"] for each in instances] == [drained["revision"]]
            assert json.loads((await run("quarantine", "list")).out) == []
            assert "histograms" in json.loads((await run("histograms", "--all")).out)
            await run("services", "delete", "stock", "--yes", "--wait")
            assert json.loads((await run("services", "list")).out) == []

    asyncio.run(scenario())
