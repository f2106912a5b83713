"""An instance's local copy of the settings tree, pulled from keepers."""

import logging
import pathlib
import random
import tomllib
import typing

from chervilwheel import _checked
from chervilwheel import auth
from chervilwheel import codec
from chervilwheel import config
from chervilwheel import disk
from chervilwheel import errors
from chervilwheel import ids
from chervilwheel import journal
from chervilwheel import messages
from chervilwheel import peers
from chervilwheel import policies
from chervilwheel import teampolicy
from chervilwheel import timers

_LOG = logging.getLogger("settings")
PULL_INTERVAL_S = 0.4
CACHE_NAME = "settings.cache"
POLICY_NAME = "policy"
ACCESS_NAME = "access"

_CODEC = codec.Codec(
    schema="peer.capnp", root="Peer", kinds=[messages.SettingsPush]
)


class PolicyView:
    """The newest received documents and the policies parsed from them.

    The revision never decreases: older pushes are ignored.

    :param tokens: updated with the teams' access tokens
    :param cache: file that keeps the documents over a restart, or None
    :param store: the disk that holds the cache
    """

    def __init__(
        self,
        *,
        tokens: auth.TokenStore,
        cache: pathlib.Path | None,
        store: disk.Disk,
    ) -> None:
        self._tokens = tokens
        self._cache = cache
        self._store = store
        self.revision = 0
        self._digest: bytes | None = None
        self.documents: dict[str, messages.Document] = {}
        self._policies: dict[ids.TeamId, teampolicy.TeamPolicy] = {}
        self._credentials: dict[str, list[auth.Credential]] = {}
        self._read_cache()

    def policy(self, team: ids.TeamId) -> teampolicy.TeamPolicy:
        """Return a team's policy, or the default one."""
        return self._policies.get(team, teampolicy.DEFAULT)

    def digest(self) -> bytes:
        """Return the hash of all documents."""
        if self._digest is None:
            self._digest = policies.documents_digest(self.documents.values())
        return self._digest

    def apply_push(self, push: messages.SettingsPush) -> bool:
        """Apply a push, unless it is older than the local copy.

        :returns: whether any document changed
        """
        if push.revision < self.revision:
            return False
        before = dict(self.documents)
        if push.is_whole:
            self.documents = {}
        for document in push.documents:
            self.documents[document.path] = document
        self.revision = push.revision
        self._digest = None
        if before == self.documents:
            return False
        self._parse_all()
        return True

    def save(self) -> None:
        """Write the documents to the cache file."""
        if self._cache is None:
            return
        push = messages.SettingsPush(
            self.revision, True, tuple(self.documents.values()), b""
        )
        try:
            self._store.names(self._cache.parent)
            data = journal.frame(_CODEC.encode(push))
            self._store.replace(self._cache, data)
        except errors.StorageError as exc:
            _LOG.warning(
                "settings: cache was not written", extra={"error": exc.detail}
            )

    def _read_cache(self) -> None:
        if self._cache is None:
            return
        try:
            data = self._store.read(self._cache)
            body = journal.frame_body(data)
            if body is not None:
                self.apply_push(_CODEC.decode(body))
        except errors.ChervilwheelError:
            return

    def _parse_all(self) -> None:
        found: dict[ids.TeamId, teampolicy.TeamPolicy] = {}
        credentials: list[auth.Credential] = []
        for document in self.documents.values():
            if document.is_deleted:
                continue
            try:
                self._parse(document, found, credentials)
            except errors.InvalidSettings as exc:
                # An accepted document that this version can't parse, such
                # as one that a newer version accepted.
                _LOG.error(
                    "settings: document ignored",
                    extra={"path": document.path, "error": exc.detail},
                )
        self._policies = found
        self._tokens.replace_replicated(credentials)

    @staticmethod
    def _parse(
        document: messages.Document,
        found: dict[ids.TeamId, teampolicy.TeamPolicy],
        credentials: list[auth.Credential],
    ) -> None:
        parts = document.path.split("/")
        if len(parts) != 3 or parts[0] != policies.TEAMS:
            return
        team = ids.TeamId(parts[1])
        if parts[2] == POLICY_NAME:
            found[team] = teampolicy.parse(document.text, source=document.path)
        elif parts[2] == ACCESS_NAME:
            credentials.extend(parse_access(document.text, team))


def parse_access(text: str, team: ids.TeamId) -> list[auth.Credential]:
    """Parse a team's access document: ``tokens = ["<sha256>", ...]``.

    :raises errors.InvalidSettings: when it does not have that form
    """
    source = f"{policies.TEAMS}/{team}/{ACCESS_NAME}"
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.InvalidSettings(f"{source}: {exc}") from exc
    access = _checked.build(config.TeamAccess, table, source=source)
    principal = auth.Principal(team, False)
    return [auth.Credential(token, principal) for token in access.tokens]


def check_document(path: str, text: str) -> None:
    """Validate a document before it is accepted.

    :raises errors.InvalidSettings: when the path or the text is invalid
    """
    parts = path.split("/")
    if len(parts) == 3 and parts[0] == policies.TEAMS:
        if parts[2] == POLICY_NAME:
            teampolicy.parse(text, source=path)
            return
        if parts[2] == ACCESS_NAME:
            parse_access(text, ids.TeamId(parts[1]))
            return
    raise errors.InvalidSettings(
        f"{path}: unknown path; valid are teams/<team>/{POLICY_NAME} and"
        f" teams/<team>/{ACCESS_NAME}"
    )


class PolicyPuller:
    """Polls the settings keepers for newer documents.

    It stays with one keeper and switches to the next when that one doesn't
    answer or is behind the local copy.

    :param view: the local copy to update
    :param keepers: the keepers of the settings, nearest first
    :param links: links to the other instances
    :param heap: timers
    """

    def __init__(
        self,
        *,
        view: PolicyView,
        keepers: typing.Sequence[ids.InstanceId],
        links: peers.Peers,
        heap: timers.TimerHeap,
    ) -> None:
        self._view = view
        self._keepers = list(keepers)
        self._links = links
        self._heap = heap
        self._keeper_index = 0
        self._has_reply = True
        links.handle(messages.SettingsPush, self._on_push)
        if self._keepers:
            heap.call_later(PULL_INTERVAL_S * random.random(), self._pull)

    def _pull(self) -> None:
        self._heap.call_later(PULL_INTERVAL_S, self._pull)
        if not self._has_reply:
            self._keeper_index += 1
        keeper = self._keepers[self._keeper_index % len(self._keepers)]
        request = messages.SettingsPull(
            self._view.revision, self._view.digest()
        )
        self._has_reply = False
        self._links.send(keeper, request)

    def _on_push(self, _: peers.Link, push: messages.SettingsPush) -> None:
        self._has_reply = True
        if self._view.apply_push(push):
            _LOG.info("settings: applied", extra={"revision": push.revision})
            self._view.save()
        is_same = self._view.revision == push.revision
        if push.digest and is_same and self._view.digest() != push.digest:
            # The same revision with other documents: an update was lost,
            # so request the whole tree.
            self._links.send(
                self._keepers[self._keeper_index % len(self._keepers)],
                messages.SettingsPull(0, b""),
            )
        elif push.revision < self._view.revision:
            # This keeper is behind, so try the next one.
            self._keeper_index += 1


def answer_pull(
    tree: policies.Policies, pull: messages.SettingsPull
) -> messages.SettingsPush:
    """Build the reply to a pull from a keeper's applied tree.

    It holds the documents changed since the pull's revision, or the whole
    tree when the puller has none or its digest differs at the same revision.
    """
    digest = tree.digest()
    is_same = pull.revision == tree.revision and pull.digest == digest
    has_diverged = pull.revision == tree.revision and pull.digest != digest
    needs_all = pull.revision == 0 or has_diverged
    documents: list[messages.Document] = []
    if not is_same:
        documents = tree.documents_since(0 if needs_all else pull.revision)
    return messages.SettingsPush(
        tree.revision, needs_all and not is_same, tuple(documents), digest
    )
