"""Completes the last word of an unfinished line."""

from lark import Lark, Token
from lark.exceptions import UnexpectedInput

from ._changes import list_settable_fields
from ._commands import DeclaredKind
from ._help import TOPICS
from ._parser import get_keyword, get_parser
from ._schema import SCHEMAS

_FIXED_CHOICES = {
    "DIRECTION": ("asc", "desc"),
    "SUBJECT": ("request", "upstream"),
    "DECLARED": tuple(kind.value for kind in DeclaredKind),
    "ARTIFACT": ("model", "adapter"),
    "ROLE": ("mixed", "prefill", "decode"),
    "FORCED": ("forced",),
    "FLAG": ("true", "false"),
    "COMPARATOR": ("=", "!=", "<", "<=", ">", ">=", "~"),
    "TABLE_NAME": tuple(SCHEMAS),
    "TOPIC": tuple(TOPICS),
}


def complete(line: str) -> tuple[str, ...]:
    """Return the words that can replace the last word of the line and begin with its text.

    After a space the last word is empty, so every word that can follow is returned.
    """
    head, _, unfinished = line.rpartition(" ")
    interactive = get_parser().parse_interactive(head)
    try:
        tokens = list(interactive.exhaust_lexer())
    except UnexpectedInput:
        return ()
    words: set[str] = set()
    for terminal in interactive.accepts():  # type: ignore[no-untyped-call]
        words.update(_list_words(get_parser(), terminal, tokens))
    return tuple(sorted(word for word in words if word.startswith(unfinished)))


def _list_words(parser: Lark, terminal: str, tokens: list[Token]) -> tuple[str, ...]:
    if terminal in _FIXED_CHOICES:
        return _FIXED_CHOICES[terminal]
    if terminal == "FIELD_NAME":
        return _list_field_names(tokens)
    keyword = get_keyword(terminal)
    return () if keyword is None or not keyword.isalpha() else (keyword,)


def _list_field_names(tokens: list[Token]) -> tuple[str, ...]:
    for token in tokens:
        if token.type == "TABLE_NAME" and str(token) in SCHEMAS:
            return SCHEMAS[str(token)].list_field_names()
        if token.type == "DECLARED":
            return list_settable_fields(DeclaredKind(str(token)))
    if tokens and str(tokens[0]) == "create":
        return list_settable_fields(DeclaredKind.WORKSPACE)
    return ()
