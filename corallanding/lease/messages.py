"""Messages between controllers for the election and for task leases. Tags and field order are fixed."""

from __future__ import annotations

from ..wire.peer_messages import ControllerMessage, MessageCodec, has_valid_header

SHARD_SET_BYTES = 32  # size of a set of shards, one bit per shard
MAX_TOKEN = 1 << 63  # exclusive


class VoteRequest(ControllerMessage, frozen=True, array_like=True, tag=11):
    """A candidate's request for votes; a leader renews its votes with it.

    `electorate_digest` identifies the voters configured at the sender. The sender grants no fencing token above
    `max_token` until a majority has voted for this request.
    """

    is_leader: bool = False
    electorate_digest: int = 0
    max_token: int = 0


class VoteReply(ControllerMessage, frozen=True, array_like=True, tag=12):
    """The reply to a vote request. `max_token` is the highest token that any candidate announced to this voter."""

    is_granted: bool = False
    max_token: int = 0


class VoteRelease(ControllerMessage, frozen=True, array_like=True, tag=13):
    """The sender no longer uses votes up to this round, so its voters may vote for another candidate."""


class LeaseRequest(ControllerMessage, frozen=True, array_like=True, tag=16):
    """A lease holder's request to the leader, for all shards at once.

    `leader_epoch` and `leader_round` identify the last message in which the leader claimed its leadership.
    `held_shards` are the shards that the sender holds or still acts on after applying the grant for its round
    `applied_round`. `tasks_digest` identifies the configured tasks. `highest_token` is the highest fencing token that a
    fenced resource has reported to the sender.
    """

    leader_epoch: int = 0
    leader_round: int = 0
    wanted_shards: bytes = b""
    held_shards: bytes = b""
    applied_round: int = 0
    tasks_digest: int = 0
    highest_token: int = 0


class LeaseGrant(ControllerMessage, frozen=True, array_like=True, tag=17):
    """The reply to a lease request: all shards that the receiver holds, under one fencing token."""

    granted_shards: bytes = b""
    fencing_token: int = 0


class FencedAction(ControllerMessage, frozen=True, array_like=True, tag=18):
    """A notice that a lease holder acts on a task. Its receivers are fenced resources. `round` is the task number."""

    fencing_token: int = 0

    @property
    def task(self) -> int:
        """The task number."""
        return self.round


class ActionRejected(ControllerMessage, frozen=True, array_like=True, tag=19):
    """A fenced resource rejected an action on task `round`: it has accepted one under `highest_token`."""

    highest_token: int = 0


ElectionMessage = VoteRequest | VoteReply | VoteRelease
LeaseMessage = LeaseRequest | LeaseGrant | FencedAction | ActionRejected


def is_valid(message: ControllerMessage) -> bool:
    """Return whether all field values of a message are in their valid ranges."""
    if not has_valid_header(message):
        return False
    match message:
        case VoteRequest() | VoteReply():
            return 0 <= message.max_token < MAX_TOKEN
        case LeaseRequest():
            return _is_valid_request(message)
        case LeaseGrant():
            return len(message.granted_shards) == SHARD_SET_BYTES and 0 <= message.fencing_token < MAX_TOKEN
        case FencedAction():
            return 0 < message.fencing_token < MAX_TOKEN
        case ActionRejected():
            return 0 < message.highest_token < MAX_TOKEN
    return True


def _is_valid_request(message: LeaseRequest) -> bool:
    numbers = (message.leader_epoch, message.leader_round, message.applied_round, message.highest_token)
    return len(message.wanted_shards) == SHARD_SET_BYTES == len(message.held_shards) and min(numbers) >= 0


_codec = MessageCodec[ElectionMessage | LeaseMessage](ElectionMessage | LeaseMessage, is_valid)
encode = _codec.encode
decode = _codec.decode
