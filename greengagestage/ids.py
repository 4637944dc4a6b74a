"""Typed identifiers shared by every package."""

from typing import NewType

HostId = NewType("HostId", str)
FailureDomain = NewType("FailureDomain", str)
WorkspaceId = NewType("WorkspaceId", str)
ClassName = NewType("ClassName", str)
ModelName = NewType("ModelName", str)
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
"""A model name or a service name: the set of upstreams that can serve a request."""
UpstreamName = NewType("UpstreamName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)

LossHash = NewType("LossHash", int)
"""A hash of the workspace and the canonical request body."""
ConfigurationVersion = NewType("ConfigurationVersion", int)
FencingNumber = NewType("FencingNumber", int)
CommandId = NewType("CommandId", str)
OperatorName = NewType("OperatorName", str)
RouteName = NewType("RouteName", str)
InstanceId = NewType("InstanceId", str)
"""The identity under which an upstream registered itself."""
Incarnation = tuple[InstanceId, int | None]
"""One process among those that have used the same instance id."""
SoftwareVersion = NewType("SoftwareVersion", str)
"""The version of an upstream's software; what two versions write in a stream does not fit."""
PromptPartId = NewType("PromptPartId", str)
"""A part of a prompt that other requests may share; equal parts have equal ids."""
PartHash = NewType("PartHash", int)
"""A hash of the id of a part of a prompt, by which hosts identify the part to each other."""
Crash = NewType("Crash", int)
"""A hash of the incarnation of an upstream that has ended in a crash."""
