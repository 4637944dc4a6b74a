"""Drawn orders of events around a silent upstream of an entry process and its successor."""

from random import Random

import pytest

from .entry_world import TOKENS, EntryRun, EntryWorld

ORDERS = 150
PAUSES_S = (0.05, 2.1, 4.1, 11.0)
PLAIN_PARTS = (1_000, 30_000, 70_000)


def play(seed: int, *, plain: bool, with_ids: bool) -> tuple[EntryWorld, bool]:
    """Play one order of events; return how it ended, and whether two runs were open at once."""
    random, joined = Random(seed), False
    world = EntryWorld(plain=plain, with_ids=with_ids)
    world.start()
    for _ in range(40):
        before = len(world.caller.body)
        run = random.choice([None, None, *world.list_open() * 2])
        if run is not None and not run.is_paused:
            answer(random, run)
        elif random.random() < 0.2:
            world.caller.is_scarce = not world.caller.is_scarce
        elif random.random() < 0.2 and world.caller.listener is not None:
            random.choice([world.caller.listener.pause, world.caller.listener.resume])()
        else:
            world.clock.advance(random.choice(PAUSES_S))
        joined = joined or len(world.list_open()) > 1
        if len(world.caller.body) > before or world.caller.has_final_answer:
            assert [each.number for each in world.list_open() if each is not run] == []
        check_answer(world)
        if world.caller.has_final_answer:
            break
    return world, joined


def answer(random: Random, run: EntryRun) -> None:
    """Let an upstream send something."""
    if run.body is None:
        status = random.choice((200, 200, 200, 200, 500, 503))
        run.begin(status, **({"x_not_started": "true"} if status == 503 else {}))
    elif random.random() < 0.1:
        run.reset()
    elif random.random() < 0.2:
        run.end()
    else:
        run.send(random.choice(PLAIN_PARTS) if run.plain else random.randint(1, 4))


def check_answer(world: EntryWorld) -> None:
    """Check that the caller got the beginning of one run's answer, or all of it."""
    caller = world.caller
    assert caller.faults == []
    if not world.plain:
        text = caller.read_text()
        wholes = ["".join(map(run.get_text, range(TOKENS))) for run in world.runs]
        assert any(whole.startswith(text) for whole in wholes)
        assert not caller.is_complete or text in wholes
    elif caller.body:
        run = world.runs[int(caller.run or 0) - 1]
        sent, run.sent = run.sent, 0
        whole, run.sent = run.get_bytes(sent), sent
        assert whole.startswith(caller.body)
        assert not caller.is_complete or (run.is_whole and whole == caller.body)


# Guards against an answer that is joined from those of two upstreams, and against a run that goes
# on for a caller who gets the bytes of another one.
@pytest.mark.parametrize(("plain", "with_ids"), [(True, False), (False, True), (False, False)])
def test_a_caller_of_an_entry_process_gets_the_answer_of_one_run(
    plain: bool, with_ids: bool
) -> None:
    ends = [play(seed, plain=plain, with_ids=with_ids) for seed in range(ORDERS)]
    assert sum(joined for _, joined in ends) >= ORDERS // 10
    assert sum(world.caller.is_complete for world, _ in ends) >= ORDERS // 10
