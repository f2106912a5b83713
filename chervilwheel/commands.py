"""The command line of callers and operators.

Exit codes: 0 success, 1 failure, 2 usage error, 3 not run, 4 outcome
unknown, 5 rejected or in conflict.
"""

import dataclasses
import typing

import cappa

from chervilwheel import _cli
from chervilwheel import clustercommands as cluster
from chervilwheel import datacommands as data
from chervilwheel import errors
from chervilwheel import jobcommands as jobs
from chervilwheel import logcommands
from chervilwheel import output
from chervilwheel import settingscommands as settings
from chervilwheel import zonecommands as zones


def _group(name: str, help_text: str, *actions: type) -> type:
    """Create a command such as ``job`` with its subcommands."""
    union = typing.Union[actions]  # noqa: UP007
    command = dataclasses.make_dataclass(
        name.capitalize(), [("action", cappa.Subcommands[union])]
    )
    command.__doc__ = help_text
    return cappa.command(name=name, help=help_text)(command)


Submission = _group("submission", "Submission ids.", jobs.SubmissionMint)
Job = _group(
    "job",
    "Jobs.",
    jobs.JobSubmit,
    jobs.JobShow,
    jobs.JobWait,
    jobs.JobCancel,
)
Team = _group(
    "team",
    "Teams and their policies.",
    settings.TeamList,
    settings.TeamShow,
    settings.TeamSet,
)
Settings = _group(
    "settings",
    "Replicated settings.",
    settings.SettingsGet,
    settings.SettingsSet,
    settings.SettingsDelete,
    settings.SettingsHistory,
    settings.SettingsCheck,
)
Audit = _group(
    "audit",
    "The audit trail.",
    settings.AuditTail,
    settings.AuditVerify,
)
Endpoint = _group("endpoint", "Endpoints.", cluster.EndpointList)
Member = _group(
    "member",
    "Instances.",
    cluster.MemberList,
    cluster.MemberDrain,
)
Zone = _group(
    "zone",
    "Availability zones (control hosts).",
    zones.ZoneList,
    zones.ZoneEvacuate,
    zones.ZoneRestore,
    zones.ZoneAudit,
)
Keeper = _group("keeper", "Keepers.", cluster.KeeperStatus)
Data = _group(
    "data",
    "Data folders (offline).",
    data.DataFound,
    data.DataInspect,
    data.DataVerify,
)


@cappa.command(name="chervilwheel")
@dataclasses.dataclass
class Chervilwheel:
    """Use and operate a chervilwheel cluster.

    CHERVILWHEEL_SERVER is the address of an instance (host:port), for zones
    that of a control host's metrics port, and CHERVILWHEEL_TOKEN the bearer
    token.
    """

    command: cappa.Subcommands[
        Submission
        | Job
        | Team
        | Settings
        | Audit
        | Endpoint
        | Member
        | Keeper
        | Zone
        | cluster.Metrics
        | cluster.Health
        | Data
        | logcommands.Explain
        | logcommands.Losses
    ]


def main() -> None:
    """Run the command that the arguments name."""
    try:
        cappa.invoke(Chervilwheel)
    except errors.OutcomeUnknown as exc:
        hint = _cli.HINTS[_cli.EXIT_UNKNOWN]
        output.print_error(exc.detail, hint=hint)
        raise SystemExit(_cli.EXIT_UNKNOWN) from exc
    except errors.ChervilwheelError as exc:
        output.print_error(exc.detail)
        raise SystemExit(_cli.EXIT_FAILED) from exc


if __name__ == "__main__":
    main()
