"""Under random upstream faults, each caller gets its own complete answer or an error."""

import json
from random import Random

from twisted.internet.defer import inlineCallbacks

from .entry_fakes import (
    SimplePolicy,
)
from .entry_harness import (
    EntryCase,
)
from .raw_caller import (
    build_body,
    build_request,
    wait_until,
)
from .scripted_upstreams import (
    CLOSE,
    HEAD,
    RESET,
    chunked,
    event,
    refuse,
)

CALLERS = 150
TOKENS = 12


def build_words(text: str) -> list[str]:
    return [f"{text}·{number} " for number in range(TOKENS)]


class RandomFaultsCase(EntryCase):
    def build_policy(self):
        return SimplePolicy(upstreams=("engine-0", "engine-1", "engine-2", "engine-3"))

    def build_engine(self):
        def script(request) -> None:
            random = Random(request.headers["x-attempt-id"].split("-")[-1])
            fault = random.random()
            if fault < 0.1:
                refuse(request)
                return
            start = len(request.json.get("resume", {}).get("token_ids", []))
            data = HEAD + b"".join(self.build_events(request, start))
            if fault < 0.6:
                data = data[: random.randrange(len(data))]
                pieces = [data, random.choice([CLOSE, RESET])]
            else:
                middle = random.randrange(len(data))
                pieces = [data[:middle], data[middle:]]
            request.send(*pieces)

        return self.start_upstream(script)

    def build_events(self, request, start: int):
        answer_id = request.headers["x-attempt-id"]
        for number, word in enumerate(build_words(request.json["prompt"])):
            choice = {"text": word, "token_ids": [number], "finish_reason": None}
            if number >= start:
                yield chunked(event({"id": answer_id, "model": "small", "choices": [choice]}))
        last = {"text": "", "token_ids": [], "finish_reason": "stop"}
        yield chunked(event({"id": answer_id, "model": "small", "choices": [last]}))
        yield chunked(b"data: [DONE]\n\n") + b"0\r\n\r\n"

    @inlineCallbacks
    def test_each_answer_is_complete_or_marked_incomplete(self):
        self.configure(*[self.build_engine() for _ in range(4)])
        outcomes = []
        for first in range(0, CALLERS, 10):
            callers = []
            for number in range(first, first + 10):
                body = build_body(stream=number % 3 != 0, prompt=f"gép-{number}")
                callers.append((number, (yield self.send(build_request(body)))))
            if first % 20 == 0:
                number, leaver = callers.pop()
                leaver.transport.abortConnection()
            yield wait_until(lambda c=callers: all(x.is_complete or x.closed for _, x in c))
            outcomes += [self.classify_answer(number, caller) for number, caller in callers]
        yield wait_until(lambda: self.process.shell.is_idle)
        assert self.process.shell.requests._by_attempt == {}
        assert outcomes.count("whole") > CALLERS // 3
        assert set(outcomes) == {"whole", "refused", "broken"}

    def classify_answer(self, number: int, caller) -> str:
        """Classify the answer that a caller got; one that looks complete must be its own answer."""
        expected = "".join(build_words(f"gép-{number}"))
        if caller.status != 200:
            assert caller.error["run"] in ("not_run", "may_have_run")
            return "refused"
        if "event-stream" not in caller.headers["content-type"]:
            assert caller.json["choices"][0]["text"] == expected
            return "whole"
        if caller.events[-1] == "data: [DONE]":
            assert caller.text == expected
            return "whole"
        error = json.loads(caller.events[-1].removeprefix("event: error\ndata: "))["error"]
        assert error["run"] == "may_have_run"
        assert expected.startswith(caller.text)
        assert b"[DONE]" not in caller.body
        return "broken"
