"""The HTTP interface for the replicated settings and their audit trail."""

import typing

from chervilwheel import config
from chervilwheel import errors
from chervilwheel import gateway
from chervilwheel import groupclient
from chervilwheel import ids
from chervilwheel import policies
from chervilwheel import policyview

COMMAND_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0
MAX_AUDIT_RECORDS = 1000


class SettingsApi:
    """Read and change settings; teams are limited to their own subtree.

    :param view: this instance's copy of the settings
    :param client: sends commands to the replica groups
    """

    def __init__(
        self,
        *,
        view: policyview.PolicyView,
        client: groupclient.GroupClient,
    ) -> None:
        self._view = view
        self._client = client

    def routes(self) -> list[gateway.Route]:
        """List the routes that this interface serves."""
        return [
            gateway.Route("GET", ("v1", "settings"), self._list_documents),
            gateway.Route("POST", ("v1", "settings"), self._change_documents),
            gateway.Route("GET", ("v1", "audit"), self._list_changes),
        ]

    def _list_documents(self, exchange: gateway.Exchange) -> None:
        prefix = self._allowed_prefix(exchange)
        rows = [
            {
                "path": document.path,
                "text": document.text,
                "revision": document.revision,
            }
            for document in self._view.documents.values()
            if not document.is_deleted and _is_under(document.path, prefix)
        ]
        rows.sort(key=lambda row: row["path"])
        exchange.reply(
            200, {"revision": self._view.revision, "documents": rows}
        )

    def _change_documents(self, exchange: gateway.Exchange) -> None:
        command = _parse_change(exchange)
        paths = tuple(edit.path for edit in command.edits)
        try:
            subtree = policies.check_edits(command.edits)
            self._require_subtree(exchange, subtree)
            for edit in command.edits:
                if not edit.is_delete:
                    policyview.check_document(edit.path, edit.text)
        except errors.ChervilwheelError as exc:
            self._record_rejection(command, paths, exc)
            raise

        def on_reply(data: bytes | None) -> None:
            if data is None:
                exchange.reply_error(
                    errors.OutcomeUnknown(
                        "no reply from the keepers; retry with the same"
                        " change id",
                        retry_after_s=RETRY_AFTER_S,
                    )
                )
            else:
                _reply_change(exchange, policies.CODEC.decode(data))

        self._send_command(command, on_reply)

    def _list_changes(self, exchange: gateway.Exchange) -> None:
        prefix = self._allowed_prefix(exchange)
        limit = int(
            min(MAX_AUDIT_RECORDS, exchange.query_number("limit", 100))
        )
        command = policies.HistoryCommand(prefix, max(1, limit))

        def on_reply(data: bytes | None) -> None:
            if data is None:
                exchange.reply_error(
                    errors.OutcomeUnknown(
                        "no reply from the keepers",
                        retry_after_s=RETRY_AFTER_S,
                    )
                )
                return
            changes = policies.CODEC.decode(data).changes
            rows = [
                {**change._asdict(), "status": change.status.value}
                for change in changes
            ]
            exchange.reply(200, {"changes": rows})

        self._send_command(command, on_reply)

    def _send_command(
        self, command: typing.Any, on_reply: groupclient.ResultCallback
    ) -> None:
        data = policies.CODEC.encode(command)
        self._client.execute(
            config.SETTINGS_GROUP, data, COMMAND_TIMEOUT_S, on_reply
        )

    def _record_rejection(
        self,
        command: policies.ChangeCommand,
        paths: tuple[str, ...],
        exc: errors.ChervilwheelError,
    ) -> None:
        rejection = policies.RefuseCommand(
            command.change_id, command.author, paths, exc.detail
        )
        self._send_command(rejection, lambda _: None)

    @staticmethod
    def _require_subtree(exchange: gateway.Exchange, subtree: str) -> None:
        if not exchange.principal.is_operator:
            team_path = f"{policies.TEAMS}/{exchange.principal.team}"
            if subtree != team_path:
                raise errors.Forbidden(
                    f"only documents under {team_path} may be changed"
                )

    @staticmethod
    def _allowed_prefix(exchange: gateway.Exchange) -> str:
        prefix = exchange.query.get("path", "")
        if exchange.principal.is_operator:
            return prefix
        team_path = f"{policies.TEAMS}/{exchange.principal.team}"
        if prefix and not _is_under(prefix, team_path):
            raise errors.Forbidden(
                f"only documents under {team_path} may be read"
            )
        return prefix or team_path


def _is_under(path: str, prefix: str) -> bool:
    return not prefix or path == prefix or path.startswith(prefix + "/")


def _parse_change(exchange: gateway.Exchange) -> policies.ChangeCommand:
    table = exchange.parse_json()
    change_id = table.get("change_id")
    base = table.get("base_revision")
    rows = table.get("edits")
    if not isinstance(change_id, str) or not ids.KEY.match(change_id):
        raise errors.InvalidRequest(
            "change_id: 1 to 128 letters, digits or . _ : - are required"
        )
    if type(base) is not int or not 0 <= base < 1 << 62:
        raise errors.InvalidRequest(
            "base_revision: an integer from 0 to 2**62 - 1 is required"
        )
    if not isinstance(rows, list):
        raise errors.InvalidRequest("edits: a list is required")
    edits = tuple(_parse_edit(row) for row in rows)
    return policies.ChangeCommand(
        ids.ChangeId(change_id), exchange.principal.name, base, edits
    )


def _parse_edit(row: typing.Any) -> policies.Edit:
    if not isinstance(row, dict) or not isinstance(row.get("path"), str):
        raise errors.InvalidRequest("edits: each edit requires a path")
    text = row.get("text")
    if text is not None and not isinstance(text, str):
        raise errors.InvalidRequest("edits: text must be a string or null")
    return policies.Edit(row["path"], text or "", text is None)


def _reply_change(
    exchange: gateway.Exchange, reply: policies.ChangeReply
) -> None:
    if reply.status is policies.ChangeStatus.ACCEPTED:
        exchange.reply(
            200, {"status": reply.status.value, "revision": reply.revision}
        )
    elif reply.status is policies.ChangeStatus.CONFLICT:
        exchange.reply_error(errors.Conflict(reply.detail))
    elif reply.status is policies.ChangeStatus.REUSED:
        exchange.reply_error(errors.KeyReused(reply.detail))
    else:
        exchange.reply_error(errors.InvalidSettings(reply.detail))
