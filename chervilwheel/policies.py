"""The replicated settings tree: documents under paths.

The tree is a deterministic state machine that the keepers replicate. The
documents of one team form a subtree. Concurrency control is optimistic: a
change carries the revision it is based on, and is refused as a conflict when
its subtree has a newer one.

The texts of refusals and conflicts are stored in the audit trail and covered
by its hashes. Changing one makes replicas of different versions diverge.
"""

import enum
import hashlib
import json
import re
import typing

from chervilwheel import batches
from chervilwheel import codec
from chervilwheel import errors
from chervilwheel import grouphost
from chervilwheel import ids
from chervilwheel import messages

PATH = re.compile(r"^[a-z0-9-]{1,64}(/[a-z0-9-]{1,64}){0,5}$")
TEAMS = "teams"
MAX_TEXT_CHARS = 65_536
MAX_EDITS = 32
MAX_STORED_REPLIES = 5_000
MAX_AUDIT_RECORDS = 5_000


class ChangeStatus(enum.Enum):
    """The outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    REUSED = "reused"


class Edit(typing.NamedTuple):
    """The write or deletion of one document."""

    path: str
    text: str
    is_delete: bool


class ChangeCommand(typing.NamedTuple):
    """Write documents of one subtree atomically."""

    change_id: ids.ChangeId
    author: str
    base_revision: int
    edits: tuple[Edit, ...]


class RefuseCommand(typing.NamedTuple):
    """Record in the audit trail a change that an instance refused."""

    change_id: ids.ChangeId
    author: str
    paths: tuple[str, ...]
    reason: str


class HistoryCommand(typing.NamedTuple):
    """List the newest audit records under a path; empty means all."""

    path: str
    limit: int


class ChangeReply(typing.NamedTuple):
    """The outcome of a change.

    ``revision`` is the new revision of an accepted change, the revision of
    the subtree after a conflict, and 0 otherwise.
    """

    status: ChangeStatus
    revision: int
    detail: str


class Change(typing.NamedTuple):
    """One record of the audit trail, a hash chain.

    ``hash`` covers all other fields, including ``previous_hash``.
    """

    number: int
    wall_ms: int
    change_id: ids.ChangeId
    author: str
    path: str
    old: str
    new: str
    revision: int
    status: ChangeStatus
    detail: str
    previous_hash: str
    hash: str


class HistoryReply(typing.NamedTuple):
    """Records of the audit trail, oldest first."""

    changes: tuple[Change, ...]


class Answered(typing.NamedTuple):
    """The stored reply to a change id, which makes resends idempotent."""

    change_id: ids.ChangeId
    digest: str
    reply: ChangeReply
    wall_ms: int


class PoliciesState(typing.NamedTuple):
    """The whole tree as stored in a snapshot."""

    revision: int
    documents: tuple[messages.Document, ...]
    answered: tuple[Answered, ...]
    changes: tuple[Change, ...]
    last_hash: str
    change_count: int
    last_wall_ms: int


CODEC = codec.Codec(
    schema="records.capnp",
    root="Record",
    kinds=[
        ChangeCommand,
        RefuseCommand,
        HistoryCommand,
        ChangeReply,
        HistoryReply,
        PoliciesState,
    ],
)


def subtree_of(path: str) -> str:
    """Return the subtree of a path: ``teams/<team>`` or the first part."""
    parts = path.split("/")
    if parts[0] == TEAMS and len(parts) > 1:
        return "/".join(parts[:2])
    return parts[0]


def check_edits(edits: typing.Sequence[Edit]) -> str:
    """Validate the number, paths and sizes of a change's edits.

    :returns: the subtree that all edits belong to
    :raises errors.InvalidSettings: naming the invalid edit
    """
    if not 0 < len(edits) <= MAX_EDITS:
        raise errors.InvalidSettings(f"edits: 1 to {MAX_EDITS} are needed")
    for edit in edits:
        if not PATH.match(edit.path):
            raise errors.InvalidSettings(f"{edit.path!r}: not a path")
        if len(edit.text) > MAX_TEXT_CHARS:
            raise errors.InvalidSettings(f"{edit.path}: too long")
    subtrees = {subtree_of(edit.path) for edit in edits}
    if len(subtrees) > 1:
        raise errors.InvalidSettings(
            "a change may touch one subtree only: "
            + ", ".join(sorted(subtrees))
        )
    if len({edit.path for edit in edits}) < len(edits):
        raise errors.InvalidSettings("a path stands twice")
    return subtrees.pop()


def audit_hash(change: Change) -> str:
    """Compute the hash of an audit record."""
    fields = [
        field.value if isinstance(field, enum.Enum) else field
        for field in change[:-1]
    ]
    text = json.dumps(fields, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def verify(changes: typing.Sequence[Change]) -> None:
    """Check the hash chain of audit records.

    :raises errors.CorruptData: naming the first record whose hash is wrong
    """
    previous = changes[0].previous_hash if changes else ""
    for change in changes:
        is_linked = change.previous_hash == previous
        if not is_linked or change.hash != audit_hash(change):
            raise errors.CorruptData(
                f"audit record {change.number}: the hash does not match"
            )
        previous = change.hash


class Policies(grouphost.Machine):
    """The settings tree as a replicated state machine."""

    def __init__(self) -> None:
        self.load(b"")

    @property
    def revision(self) -> int:
        """Revision of the newest accepted change."""
        return self._revision

    @property
    def last_wall_ms(self) -> int:
        """Wall time of the last applied batch, milliseconds."""
        return self._last_wall_ms

    def apply(self, data: bytes) -> list[bytes]:
        """Apply the batch of one log entry.

        :returns: one encoded reply per command
        """
        batch = batches.CODEC.decode(data)
        self._last_wall_ms = max(self._last_wall_ms, batch.wall_ms)
        return [
            CODEC.encode(self.run(CODEC.decode(command), batch.wall_ms))
            for command in batch.commands
        ]

    def run(self, command: typing.Any, wall_ms: int) -> typing.Any:
        """Apply one command.

        :param wall_ms: the leader's wall time, milliseconds
        """
        handlers: dict[type, typing.Callable[..., typing.Any]] = {
            ChangeCommand: self._change,
            RefuseCommand: self._refuse,
            HistoryCommand: self._history,
        }
        return handlers[type(command)](command, wall_ms)

    def documents_since(self, revision: int) -> list[messages.Document]:
        """List documents changed after a revision, including deleted ones."""
        return [
            document
            for document in self._documents.values()
            if document.revision > revision
        ]

    def digest(self) -> bytes:
        """Return the hash of all documents."""
        if self._digest is None:
            self._digest = documents_digest(self._documents.values())
        return self._digest

    def dump(self) -> bytes:
        """Encode the whole tree for a snapshot."""
        return CODEC.encode(
            PoliciesState(
                self._revision,
                tuple(self._documents.values()),
                tuple(self._answered.values()),
                tuple(self._changes),
                self._last_hash,
                self._change_count,
                self._last_wall_ms,
            )
        )

    def load(self, data: bytes) -> None:
        """Replace the tree with an encoded one; empty data clears it."""
        state = PoliciesState(0, (), (), (), "", 0, 0)
        if data:
            state = CODEC.decode(data)
        self._digest: bytes | None = None
        self._revision = state.revision
        self._documents = {
            document.path: document for document in state.documents
        }
        self._answered = {
            answered.change_id: answered for answered in state.answered
        }
        self._changes = list(state.changes)
        self._last_hash = state.last_hash
        self._change_count = state.change_count
        self._last_wall_ms = state.last_wall_ms

    def _change(self, command: ChangeCommand, wall_ms: int) -> ChangeReply:
        digest = _command_digest(command)
        earlier = self._answered.get(command.change_id)
        if earlier is not None:
            if earlier.digest == digest:
                return earlier.reply
            return ChangeReply(
                ChangeStatus.REUSED,
                0,
                "the change id was already used for another change",
            )
        reply = self._apply_change(command, wall_ms)
        self._answered[command.change_id] = Answered(
            command.change_id, digest, reply, wall_ms
        )
        while len(self._answered) > MAX_STORED_REPLIES:
            del self._answered[next(iter(self._answered))]
        return reply

    def _apply_change(
        self, command: ChangeCommand, wall_ms: int
    ) -> ChangeReply:
        try:
            subtree = check_edits(command.edits)
        except errors.InvalidSettings as exc:
            reply = ChangeReply(ChangeStatus.REFUSED, 0, exc.detail)
            self._append_audit_records(command, command.edits, reply, wall_ms)
            return reply
        revision = self._subtree_revision(subtree)
        if command.base_revision < revision:
            detail = f"{subtree} is at revision {revision}"
            reply = ChangeReply(ChangeStatus.CONFLICT, revision, detail)
            self._append_audit_records(command, command.edits, reply, wall_ms)
            return reply
        self._revision += 1
        self._digest = None
        reply = ChangeReply(ChangeStatus.ACCEPTED, self._revision, "")
        self._append_audit_records(command, command.edits, reply, wall_ms)
        for edit in command.edits:
            self._documents[edit.path] = messages.Document(
                edit.path,
                "" if edit.is_delete else edit.text,
                self._revision,
                edit.is_delete,
            )
        return reply

    def _subtree_revision(self, subtree: str) -> int:
        revisions = [
            document.revision
            for document in self._documents.values()
            if subtree_of(document.path) == subtree
        ]
        return max(revisions, default=0)

    def _refuse(self, command: RefuseCommand, wall_ms: int) -> ChangeReply:
        reply = ChangeReply(ChangeStatus.REFUSED, 0, command.reason)
        edits = [Edit(path, "", False) for path in command.paths]
        self._append_audit_records(command, edits, reply, wall_ms)
        return reply

    def _history(self, command: HistoryCommand, _wall_ms: int) -> HistoryReply:
        prefix = command.path
        matching = [
            change
            for change in self._changes
            if not prefix
            or change.path == prefix
            or change.path.startswith(prefix + "/")
        ]
        return HistoryReply(tuple(matching[-command.limit :]))

    def _append_audit_records(
        self,
        command: ChangeCommand | RefuseCommand,
        edits: typing.Sequence[Edit],
        reply: ChangeReply,
        wall_ms: int,
    ) -> None:
        for edit in edits:
            previous = self._documents.get(edit.path)
            self._change_count += 1
            change = Change(
                number=self._change_count,
                wall_ms=wall_ms,
                change_id=command.change_id,
                author=command.author,
                path=edit.path,
                old=previous.text if previous else "",
                new=edit.text,
                revision=reply.revision,
                status=reply.status,
                detail=reply.detail,
                previous_hash=self._last_hash,
                hash="",
            )
            change = change._replace(hash=audit_hash(change))
            self._last_hash = change.hash
            self._changes.append(change)
        del self._changes[:-MAX_AUDIT_RECORDS]


def documents_digest(documents: typing.Iterable[messages.Document]) -> bytes:
    """Return a hash of documents that doesn't depend on their order."""
    rows = sorted(
        [
            document.path,
            document.text,
            document.revision,
            document.is_deleted,
        ]
        for document in documents
    )
    return hashlib.sha256(json.dumps(rows).encode()).digest()


def _command_digest(command: ChangeCommand) -> str:
    text = json.dumps([command.base_revision, command.edits])
    return hashlib.sha256(text.encode()).hexdigest()
