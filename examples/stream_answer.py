"""Sends a question to a running fleet and prints the answer as it streams in.

Run ``make serve`` in one terminal and ``python -m examples.stream_answer "Which profile?"`` in
another. The request has the OpenAI chat completions format.
"""

import json
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

END_MARKER = "[DONE]"
ERROR_EVENT = "event: error"
DATA_PREFIX = "data: "


def stream_answer(url: str, key: str, model: str, question: str) -> Iterator[str]:
    """Yield the text of the answer in pieces as they arrive.

    Raises:
        RuntimeError: The server sent an error event, or the stream ended before ``[DONE]``.
    """
    body = {
        "model": model,
        "stream": True,
        "messages": [{"role": "user", "content": question}],
    }
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request) as response:
        for encoded_line in response:
            line = encoded_line.decode().rstrip("\r\n")
            if line == ERROR_EVENT:
                raise RuntimeError(response.readline().decode())
            if line == f"{DATA_PREFIX}{END_MARKER}":
                return
            if line.startswith(DATA_PREFIX):
                chunk: dict[str, Any] = json.loads(line.removeprefix(DATA_PREFIX))
                yield chunk["choices"][0]["delta"].get("content", "")
    raise RuntimeError("the stream ended before [DONE]")


@click.command()
@click.argument("question")
@click.option(
    "--fleet",
    default=".run/fleet.json",
    show_default=True,
    help="File that describes the running fleet.",
)
def main(question: str, fleet: str) -> None:
    """Send QUESTION to the first entry host."""
    fleet_description = json.loads(Path(fleet).read_text())
    key = next(iter(fleet_description["keys"].values()))
    entry = fleet_description["entries"][0]["url"]
    for text in stream_answer(entry, key, fleet_description["models"][0], question):
        click.echo(text, nl=False)
    click.echo()


if __name__ == "__main__":
    main()
