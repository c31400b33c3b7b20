"""The command line. `--config FILE` without a command means `serve`."""

import argparse
import asyncio
import http.client
import json
import random
import sys
from pathlib import Path

from pulleydeal import __version__, logs, timeline
from pulleydeal.features.settings import Features, FeaturesError
from pulleydeal.features.settings import load as load_features
from pulleydeal.policy.settings import Policy, PolicyError
from pulleydeal.policy.settings import load as load_policy
from pulleydeal.settings import Settings, SettingsError, load, split_address

DEPLOY = Path(__file__).resolve().parent.parent / "deploy"
POLICY = DEPLOY / "policy.txt"
FEATURES = DEPLOY / "features.toml"


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="pulleydeal", description="A credit-driven scheduler.")
    top.add_argument("--version", action="version", version=f"pulleydeal {__version__}")
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run a node")
    check = commands.add_parser("check", help="check a settings file")
    for command in (serve, check):
        command.add_argument("--config", type=Path, required=True, help="settings file (JSON)")
        command.add_argument(
            "--policy",
            type=Path,
            default=POLICY,
            help="the operators' expressions (default: deploy/policy.txt, if there is one)",
        )
        command.add_argument(
            "--features",
            type=Path,
            default=FEATURES,
            help="what is switched on (default: deploy/features.toml, if there is one)",
        )
    policy = commands.add_parser("policy", help="check a file of the operators' expressions")
    policy.add_argument("file", type=Path, help="`name = expression` a line")
    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("file", type=Path, help="the job (JSON); - reads standard input")
    status = commands.add_parser("status", help="show a job")
    cancel = commands.add_parser("cancel", help="cancel a job")
    for command in (status, cancel):
        command.add_argument("job", help="the job's id")
    for command in (submit, status, cancel):
        command.add_argument("--node", required=True, help="a node's address, HOST:PORT")
    timeline = commands.add_parser("timeline", help="a task's life, from the logs of all nodes")
    timeline.add_argument("task", help="JOB/INDEX, such as j-000412/3")
    timeline.add_argument("logs", type=Path, nargs="+", help="logs of nodes, as text or JSON")
    for name in ("rollout", "service"):
        commands.add_parser(name, help="named services and their roll-outs: see its own --help")
    commands.add_parser("cron", help="cron tables: see its own --help")
    return top


def main(argv: list[str] | None = None) -> int:
    args = list(sys.argv[1:] if argv is None else argv)
    if args and args[0].partition("=")[0] in ("--config", "--policy", "--features"):
        args.insert(0, "serve")
    if args and args[0] in ("rollout", "service"):
        from pulleydeal.rollouts.cli import main as rollouts

        return rollouts(args)
    if args and args[0] == "cron":
        from pulleydeal.recurring.cli import main as cron

        return cron(args[1:])
    options = parser().parse_args(args)
    if options.command in ("serve", "check"):
        try:
            settings = load(options.config)
            policy = load_policy(options.policy)
            features = load_features(options.features)
        except (SettingsError, PolicyError, FeaturesError) as error:
            print(f"pulleydeal: {error}", file=sys.stderr)
            return 2
        if options.command == "check":
            on = ", ".join(features.enabled()) or "nothing"
            print(f"{options.config}: good; switched on: {on}")
            return 0
        return serve(settings, policy, features)
    if options.command == "policy":
        return check_policy(options.file)
    if options.command == "timeline":
        return show_timeline(options.task, options.logs)
    if options.command == "submit":
        source = sys.stdin.buffer if str(options.file) == "-" else None
        try:
            body = source.read() if source else options.file.read_bytes()
        except OSError as error:
            print(f"pulleydeal: {options.file}: {error.strerror}", file=sys.stderr)
            return 2
        return call(options.node, "POST", "/submissions", body)
    path = f"/submissions/{options.job}"
    if options.command == "status":
        return call(options.node, "GET", path)
    return call(options.node, "POST", path + "/cancel")


def show_timeline(task: str, logs: list[Path]) -> int:
    """Prints a task's timeline. The exit code is 1 if its attempts overlap by the logs."""
    try:
        lines, overlapping = timeline.report(task, logs)
    except timeline.TimelineError as error:
        print(f"pulleydeal: {error}", file=sys.stderr)
        return 2
    print("\n".join(lines))
    return int(overlapping)


def check_policy(path: Path) -> int:
    try:
        if not path.is_file():
            raise PolicyError(f"{path}: no such file")
        load_policy(path)
    except PolicyError as error:
        print(f"pulleydeal: {error}", file=sys.stderr)
        return 2
    print(f"{path}: good")
    return 0


def call(node: str, method: str, path: str, body: bytes = b"") -> int:
    try:
        host, port = split_address(node)
        connection = http.client.HTTPConnection(host, port, timeout=10)
        connection.request(method, path, body)
        response = connection.getresponse()
        reply = response.read()
    except (OSError, ValueError, http.client.HTTPException) as error:
        print(f"pulleydeal: {node}: {error}", file=sys.stderr)
        return 1
    try:
        print(json.dumps(json.loads(reply), indent=2))
    except (ValueError, RecursionError):
        print(reply.decode(errors="replace"))
    return 0 if response.status < 300 else 1


def serve(settings: Settings, policy: Policy, features: Features) -> int:
    logs.setup()
    from pulleydeal.app import App  # imported here so that other commands start faster
    from pulleydeal.clock import SystemClock

    async def run() -> None:
        app = App(settings, SystemClock(), random.Random(), policy, features)
        await app.run()

    try:
        asyncio.run(run())
    except OSError as error:
        print(f"pulleydeal: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass
    return 0
