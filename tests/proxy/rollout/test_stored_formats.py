"""The bytes of stored files are fixed: controllers and supervisors of other versions can read them."""

from __future__ import annotations

import json
from pathlib import Path

from firvane.proxy.rollout import supervisor
from firvane.proxy.rollout.rollout_files import RolloutFiles
from firvane.proxy.rollout.rollout_state import RolloutState, StoredRollout, TransitionCause
from firvane.proxy.rollout.slot_types import StoredSlot

ROLLOUT = StoredRollout(
    plan="ab" * 16,
    roll=7,
    state=RolloutState.GOING_BACK,
    stage=2,
    spent=12.5,
    ordered={"p1": "b"},
    new=("p1", "p2"),
    failures={"p3": 1},
    comparisons=3,
    before=0.97,
    tried=True,
    accepts=True,
    cause=TransitionCause.WORSE,
    why="the share failed",
)
ROLLOUT_BYTES = (
    "465652430100df0000000000eefb8d8a8ea4706c616ed92061626162616261626162616261626162616261626162616261"
    "62616261626162a4726f6c6c07a57374617465aa676f696e67206261636ba5737461676502a57370656e74cb4029000000"
    "000000a76f72646572656481a27031a162a36e657792a27031a27032a86661696c7572657381a2703301ab636f6d706172"
    "69736f6e7303a66265666f7265cb3fef0a3d70a3d70aa57472696564c3a761636365707473c3a56361757365ba74686520"
    "6e65772076657273696f6e20646f657320776f727365a3776879b0746865207368617265206661696c6564"
)
SLOT = StoredSlot(version="b", before="a", roll=7, name="c0ffee", failed="b 7 is not ready", spurned="b 6")
SLOT_BYTES = (
    "4656504c01004a00000000001f08866286a776657273696f6ea162a66265666f7265a161a4726f6c6c07a46e616d65a663"
    "3066666565a66661696c6564b0622037206973206e6f74207265616479a7737075726e6564a3622036"
)


def test_the_state_of_a_rollout_keeps_its_bytes(tmp_path: Path) -> None:
    files = RolloutFiles(tmp_path / "course")
    files.acquire()
    files.write_state(ROLLOUT)
    files.release()
    assert (tmp_path / "course").read_bytes().hex() == ROLLOUT_BYTES
    assert files.read_state() == ROLLOUT


def test_the_state_of_a_slot_keeps_its_bytes(tmp_path: Path) -> None:
    path = tmp_path / "state"
    path.write_bytes(bytes.fromhex(SLOT_BYTES))
    assert supervisor.read_slot(path) == SLOT
    assert supervisor.encode_slot(SLOT).hex() == SLOT_BYTES


def test_the_event_log_has_a_line_of_json_for_each_event(tmp_path: Path) -> None:
    files = RolloutFiles(tmp_path / "course")
    files.append_event({"at": 1.5, "state": "planned", "stage": 1, "note": "a b"})
    files.release()
    line = (tmp_path / "course.events").read_bytes()
    assert line == b'{"at":1.5,"state":"planned","stage":1,"note":"a b"}\n'
    assert list(files.read_events()) == [json.loads(line)]
