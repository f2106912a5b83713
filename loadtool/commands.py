"""The command line of the load tool."""

import argparse
import json
import pathlib
import sys
import tempfile

from loadtool import report
from loadtool import runner
from loadtool import scenarios

EXIT_OK = 0
EXIT_VIOLATION = 1


def main(argv: list[str] | None = None) -> int:
    """Run the command.

    :returns: the exit code: 0, or 1 when the run violated a guarantee;
        argparse exits with 2 for a usage error
    """
    opts = _parse(argv)
    if opts.command == "report":
        return _print_reports(opts)
    if opts.list:
        for scenario in scenarios.ALL.values():
            print(f"{scenario.name:20} {scenario.description}")
        return EXIT_OK
    return _run(opts)


def _parse(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="chervilwheel-load")
    subparsers = parser.add_subparsers(dest="command", required=True)
    run_parser = subparsers.add_parser("run", help="run a scenario")
    run_parser.add_argument("--scenario", choices=sorted(scenarios.ALL))
    run_parser.add_argument("--list", action="store_true")
    run_parser.add_argument("--seed", type=int, default=1)
    run_parser.add_argument("--seconds", type=float, default=10.0)
    run_parser.add_argument("--report", type=pathlib.Path)
    run_parser.add_argument(
        "--keep",
        type=pathlib.Path,
        help="folder for settings, data and logs, which is kept",
    )
    run_parser.add_argument("--placement", default="")
    run_parser.add_argument("--least-sync-ms", type=float, default=0.0)
    run_parser.add_argument("--rate", type=float, default=0.0)
    report_parser = subparsers.add_parser(
        "report", help="print reports as a table"
    )
    report_parser.add_argument("files", nargs="+", type=pathlib.Path)
    report_parser.add_argument("--plot", type=pathlib.Path)
    opts = parser.parse_args(argv)
    if opts.command == "run" and not (opts.scenario or opts.list):
        parser.error("either --scenario or --list is required")
    return opts


def _run(opts: argparse.Namespace) -> int:
    scenario = scenarios.ALL[opts.scenario]
    options = runner.Options(
        seed=opts.seed,
        seconds=opts.seconds,
        placement=opts.placement,
        least_sync_ms=opts.least_sync_ms,
        rate=opts.rate,
    )
    if opts.keep is not None:
        opts.keep.mkdir(parents=True, exist_ok=True)
        result = runner.run(scenario, options, opts.keep)
    else:
        with tempfile.TemporaryDirectory() as folder:
            result = runner.run(scenario, options, pathlib.Path(folder))
    text = json.dumps(result, indent=2)
    if opts.report is not None:
        opts.report.write_text(text + "\n")
    print(text)
    return EXIT_VIOLATION if result["broken"] else EXIT_OK


def _print_reports(opts: argparse.Namespace) -> int:
    reports = [report.read(path) for path in opts.files]
    print(report.table(reports))
    if opts.plot is not None:
        report.plot(reports, opts.plot)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
