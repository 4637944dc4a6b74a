"""Test case base: an entry process, raw callers and scripted upstreams in one reactor."""

import hashlib
from typing import Any

from msgspec.structs import replace
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.trial.unittest import TestCase

from greengagestage.configuration import (
    Model,
    PlainService,
    Upstream,
    UpstreamKind,
    WorkspaceKey,
    compute_digest,
    encode_declaration,
)
from greengagestage.entry import (
    DeliveryLimits,
    EntryProcess,
    EntrySettings,
    LifecycleTimes,
    ServerLimits,
)
from greengagestage.ids import ConfigurationVersion, FailureDomain, HostId, ModelName, ServiceName
from greengagestage.policy import Policy
from greengagestage.wire import ConfigurationInForce

from .builders import build_class, build_declaration, build_engine, build_workspace
from .entry_fakes import FakeClaims, FakeLink
from .raw_caller import KEY, RawCaller, wait_until
from .scripted_upstreams import Script, ScriptedUpstream


def build_service(name: str, url: str) -> Upstream:
    """Return an upstream of the plain service ``bookings``."""
    return replace(
        build_engine(name, url=url, models=(), service=ServiceName("bookings")),
        kind=UpstreamKind.SERVICE,
    )


class EntryCase(TestCase):
    """Starts an entry process for each test, and stops it with its callers and upstreams."""

    limits = DeliveryLimits()
    server = ServerLimits(body_bytes=10_000)
    times = LifecycleTimes(drain_notice_s=0.05)

    def setUp(self) -> None:
        self.link = FakeLink()
        self.claims = FakeClaims()
        self.upstreams: list[ScriptedUpstream] = []
        self.callers: list[RawCaller] = []
        settings = EntrySettings(
            host=HostId("host-1"),
            failure_domain=FailureDomain("a"),
            listen="127.0.0.1:0",
            agent="127.0.0.1:1",
            platform="http://127.0.0.1:1",
            fleet_key="k" * 16,
            delivery=self.limits,
            server=self.server,
            lifecycle=self.times,
        )
        self.process = EntryProcess(
            reactor=reactor,
            settings=settings,
            policy=self.build_policy(),
            claims=self.claims,
            connect=lambda _: self.link,
        )
        self.process.start()

    def build_policy(self) -> Any:
        """Return the policy; subclasses may override it with a simpler one."""
        return Policy(host=HostId("host-1"), seed=1)

    @inlineCallbacks
    def tearDown(self):
        for caller in self.callers:
            caller.transport.abortConnection()
        for upstream in self.upstreams:
            yield upstream.close()
        yield wait_until(lambda: all(caller.closed for caller in self.callers))
        yield self.process.stop()

    def start_upstream(self, *scripts: Script) -> ScriptedUpstream:
        upstream = ScriptedUpstream(*scripts)
        self.upstreams.append(upstream)
        return upstream

    def configure(
        self,
        *engines: ScriptedUpstream,
        services: tuple[ScriptedUpstream, ...] = (),
        declared: tuple[PlainService, ...] = (PlainService(name=ServiceName("bookings")),),
        version: int = 1,
    ) -> None:
        """Apply a configuration with these upstreams."""
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        upstreams = [build_engine(f"engine-{i}", url=e.url) for i, e in enumerate(engines)]
        upstreams += [build_service(f"service-{i}", s.url) for i, s in enumerate(services)]
        fields = {
            "classes": (build_class("phone", 0), build_class("review", 1)),
            "workspaces": (build_workspace("gyor", keys=(WorkspaceKey(sha256=digest),)),),
            "models": (Model(name=ModelName("small")),),
            "services": declared,
            "upstreams": tuple(upstreams),
        }
        document = encode_declaration(build_declaration(**fields))
        self.process.control.receive(
            ConfigurationInForce(
                version=ConfigurationVersion(version),
                digest=compute_digest(document),
                document=document,
            )
        )

    @inlineCallbacks
    def connect(self):
        endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", self.process.port)
        caller = yield connectProtocol(endpoint, RawCaller())
        self.callers.append(caller)
        return caller

    @inlineCallbacks
    def send(self, data: bytes):
        caller = yield self.connect()
        caller.transport.write(data)
        return caller

    @inlineCallbacks
    def call(self, data: bytes):
        """Send a request and wait for its complete answer or the end of the connection."""
        caller = yield self.send(data)
        yield wait_until(lambda: caller.is_complete or caller.closed)
        return caller
