"""The desired state of an engine, and the changes that operators request."""

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from greengagestage.configuration import EngineRole, Upstream
from greengagestage.ids import CommandId, FencingNumber, OperatorName, UpstreamName


class ArtifactKind(Enum):
    """The kinds of artifact that are loaded from the weight store."""

    MODEL = "model"
    ADAPTER = "adapter"


class ArtifactChange(Struct, frozen=True, kw_only=True, tag_field="kind", tag="artifact"):
    """Load or unload a model or an adapter."""

    artifact: ArtifactKind
    name: str
    loaded: bool

    def describe(self) -> str:
        """Return the change in words."""
        return f"{'load' if self.loaded else 'unload'} {self.artifact.value} {self.name}"


class RoleChange(Struct, frozen=True, kw_only=True, tag_field="kind", tag="role"):
    """Give an engine a role."""

    role: EngineRole

    def describe(self) -> str:
        """Return the change in words."""
        return f"set role {self.role.value}"


OrderChange = ArtifactChange | RoleChange


class EngineState(Struct, frozen=True, kw_only=True):
    """An engine's state, as ordered or as read back.

    Attributes:
        fencing_number: Number of the order; in a state that was read back, the number of the order
            that the engine accepted last.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: EngineRole = EngineRole.MIXED
    fencing_number: FencingNumber = FencingNumber(0)

    def agrees_with(self, other: "EngineState") -> bool:
        """Whether two states are equal apart from fencing numbers and the order of their names."""
        return (
            set(self.models) == set(other.models)
            and set(self.adapters) == set(other.adapters)
            and self.role is other.role
        )

    def list_missing(self, actual: "EngineState") -> tuple[str, ...]:
        """Return the artifacts of this state that are not loaded in the actual one."""
        wanted = [*self.models, *self.adapters]
        loaded = {*actual.models, *actual.adapters}
        return tuple(name for name in wanted if name not in loaded)


class Intent(Struct, frozen=True, kw_only=True):
    """The desired state of an engine, as stored in the table.

    Attributes:
        fencing_number: Fencing number that orders for this state carry, which engines may check.
            Each adoption by a lease holder raises it. Before its first adoption, an intent has the
            number of the intent that it replaced, or 0 if there was none.
        adopted_by: Name and fencing number of the lease under which the state is ordered; empty
            until a lease holder adopts it.
        settled: The engine was seen in this state after it was adopted.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: EngineRole
    fencing_number: FencingNumber
    command_id: CommandId
    operator: OperatorName
    change: OrderChange
    adopted_by: str = ""
    settled: bool = False

    @property
    def state(self) -> EngineState:
        """The state to order."""
        return EngineState(
            models=self.models,
            adapters=self.adapters,
            role=self.role,
            fencing_number=self.fencing_number,
        )


class OrderCommand(Struct, frozen=True, kw_only=True):
    """A change of one engine that an operator requests.

    Attributes:
        forced: Allow unloading a model's last copy and overriding an unsettled order.
    """

    upstream: UpstreamName
    change: OrderChange
    operator: OperatorName
    command_id: CommandId
    forced: bool = False


def intent_key(upstream: UpstreamName) -> str:
    """Return the key of an engine's intent."""
    return f"intent/{upstream}"


def declared_state(upstream: Upstream) -> EngineState:
    """Return the declared state, which applies to an engine that has no intent."""
    return EngineState(models=tuple(upstream.models), role=upstream.role)


def apply_order_change(state: EngineState, change: OrderChange) -> EngineState:
    """Return the state with a change carried out."""
    match change:
        case RoleChange(role=role):
            return replace(state, role=role)
        case ArtifactChange(artifact=ArtifactKind.MODEL):
            return replace(state, models=change_names(state.models, change))
        case ArtifactChange():
            return replace(state, adapters=change_names(state.adapters, change))


def change_names(names: tuple[str, ...], change: ArtifactChange) -> tuple[str, ...]:
    """Return names with the changed one added or removed."""
    others = tuple(name for name in names if name != change.name)
    return (*others, change.name) if change.loaded else others


def contradicts(change: OrderChange, earlier: OrderChange) -> bool:
    """Whether a change undoes an earlier one."""
    match (change, earlier):
        case (RoleChange(role=role), RoleChange(role=earlier_role)):
            return role is not earlier_role
        case (ArtifactChange(), ArtifactChange()):
            same = (change.artifact, change.name) == (earlier.artifact, earlier.name)
            return same and change.loaded is not earlier.loaded
        case _:
            return False
