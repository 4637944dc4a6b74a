"""Ask a question through a served fleet and print the answer as it comes.

``make serve`` in one terminal, ``python -m examples.stream_answer "Which profile?"`` in another.
The request is what any client of the OpenAI format sends.
"""

import json
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

END = "[DONE]"
ERROR_EVENT = "event: error"
DATA_PREFIX = "data: "


def stream_answer(url: str, key: str, model: str, question: str) -> Iterator[str]:
    """Yield the pieces of the answer's text.

    Raises:
        RuntimeError: The answer ended without its proper end.
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
        for raw in response:
            line = raw.decode().rstrip("\r\n")
            if line == ERROR_EVENT:
                raise RuntimeError(response.readline().decode())
            if line == f"{DATA_PREFIX}{END}":
                return
            if line.startswith(DATA_PREFIX):
                chunk: dict[str, Any] = json.loads(line.removeprefix(DATA_PREFIX))
                yield chunk["choices"][0]["delta"].get("content", "")
    raise RuntimeError("the answer has no proper end")


@click.command()
@click.argument("question")
@click.option("--fleet", default=".run/fleet.json", show_default=True, help="The served fleet.")
def main(question: str, fleet: str) -> None:
    """Send QUESTION to the first entry host."""
    described = json.loads(Path(fleet).read_text())
    key = next(iter(described["keys"].values()))
    entry = described["entries"][0]["url"]
    for text in stream_answer(entry, key, described["models"][0], question):
        click.echo(text, nl=False)
    click.echo()


if __name__ == "__main__":
    main()
