"""Sends an operator's command to an agent and reads its answer."""

from io import BytesIO
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, FileBodyProducer
from twisted.web.http_headers import Headers

from greengagestage.language import ApplyRequest, CommandAnswer, CommandRequest, build_code_answer
from greengagestage.results import ResultCode
from greengagestage.services import BoundedConnectionPool, read_body

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 15.0
MAX_ANSWER_BYTES = 67_108_864
"""Larger answers are given up. A table of all requests of a large fleet is a few megabytes."""

_DECODER = msgspec.json.Decoder(CommandAnswer)


async def send_command(
    reactor: Any, agent_url: str, key: str, request: CommandRequest | ApplyRequest
) -> CommandAnswer:
    """Return the agent's answer, or one with the result code of the failure.

    If the answer is lost, the command may have taken effect: the code is ``OUTCOME_UNKNOWN``.
    """
    pool = BoundedConnectionPool(reactor, idle_per_host=1, idle_timeout_s=1.0)
    http = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)  # type: ignore[no-untyped-call]
    headers = Headers({"Authorization": [f"Bearer {key}"], "Content-Type": ["application/json"]})
    body: Any = FileBodyProducer(BytesIO(msgspec.json.encode(request)))  # type: ignore[no-untyped-call]
    path = "apply" if isinstance(request, ApplyRequest) else "command"
    url = f"{agent_url.rstrip('/')}/v1/{path}".encode()
    sending: Deferred[Any] = http.request(b"POST", url, headers, body)
    sending.addTimeout(ANSWER_TIMEOUT_S, reactor)
    try:
        response = await sending
        data = await read_body(response, MAX_ANSWER_BYTES).addTimeout(ANSWER_TIMEOUT_S, reactor)
        return _DECODER.decode(data)
    except ConnectError as error:
        return build_code_answer(ResultCode.AGENT_UNREACHABLE, f"{agent_url}: {error}")
    except msgspec.MsgspecError as error:
        return build_code_answer(ResultCode.MESSAGE_MALFORMED, str(error))
    except Exception as error:
        return build_code_answer(ResultCode.OUTCOME_UNKNOWN, f"{type(error).__name__}: {error}")
