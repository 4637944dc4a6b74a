"""What stands for a request in the account of held bytes."""


class BodyClaim:
    """A request's claim on memory, which holds for as long as anything refers to it.

    Whatever holds the bytes of a body holds its claim as well, so that the account, which refers to
    it only weakly, counts the body until the last holder has dropped both.

    Attributes:
        size: Number of bytes of the body, and of the headers if they are many.
    """

    __slots__ = ("__weakref__", "size")

    def __init__(self, size: int) -> None:
        self.size = size
