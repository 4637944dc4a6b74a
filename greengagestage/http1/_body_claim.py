"""What stands for a request body in the account of held bytes."""


class BodyClaim:
    """A request body's claim on memory, which holds for as long as anything refers to it.

    Whatever holds the bytes of a body holds its claim as well, so that the account, which refers to
    it only weakly, counts the body until the last holder has dropped both.

    Attributes:
        size: Number of bytes of the body.
    """

    __slots__ = ("__weakref__", "size")

    def __init__(self, size: int) -> None:
        self.size = size
