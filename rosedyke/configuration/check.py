"""Checks all teams' files together.

Names must be unique over all files; intent that is valid but unlikely to work causes warnings.
"""

import collections
from collections.abc import Iterable

from rosedyke.configuration import diagnostic, file_parser, intent

_KIND_TEXT = {
    "team": "team",
    "service": "service",
    "task": "task",
    "server": "backend server",
    "address": "address",
}


def check(files: Iterable[file_parser.ParsedFile]) -> tuple[diagnostic.Diagnostic, ...]:
    """Return all errors and warnings, in the order of files and lines."""
    files = tuple(files)
    found = [item for parsed in files for item in parsed.diagnostics]
    found.extend(_duplicates(files))
    for parsed in files:
        if parsed.team is not None:
            found.extend(_warnings(parsed))
    order = {parsed.path: index for index, parsed in enumerate(files)}
    return tuple(sorted(found, key=lambda item: (order[item.file], item.line, item.key)))


def _duplicates(files: tuple[file_parser.ParsedFile, ...]) -> list[diagnostic.Diagnostic]:
    """Return an error for each definition of a name that is already defined."""
    found = []
    first_definitions: dict[tuple[str, str, str], file_parser.Definition] = {}
    for parsed in files:
        for definition in parsed.definitions:
            unique_name = (definition.kind, definition.scope, definition.name)
            original = first_definitions.setdefault(unique_name, definition)
            if original is not definition:
                found.append(_duplicate(definition, original))
    return found


def _duplicate(
    definition: file_parser.Definition, original: file_parser.Definition
) -> diagnostic.Diagnostic:
    kind = _KIND_TEXT[definition.kind]
    text = f"{kind} {definition.name} is already defined at {original.file}:{original.line}"
    return diagnostic.Diagnostic(
        definition.file, definition.line, definition.key, f"duplicate_{definition.kind}", text
    )


def _warnings(parsed: file_parser.ParsedFile) -> list[diagnostic.Diagnostic]:
    found = []

    def warn(path: str, code: str, text: str) -> None:
        found.append(diagnostic.Diagnostic(parsed.path, parsed.line(path), path, code, text))

    for index, service in enumerate(parsed.team.services):
        path = f"services[{index}]"
        _warn_about_tasks(path, service, warn)
        _warn_about_service(path, service, warn)
    return found


def _warn_about_tasks(path: str, service: intent.Service, warn) -> None:
    server_sizes = collections.Counter(server.size for server in service.servers)
    for index, task in enumerate(service.tasks):
        task_path = f"{path}.tasks[{index}]"
        if not any(task.size.fits(server_size) for server_size in server_sizes):
            warn(
                task_path, "task_fits_no_server", f"task {task.name} fits no server of its service"
            )
        if task.timeout_s < task.run_time_s:
            text = f"task {task.name} times out before its estimated run time"
            warn(f"{task_path}.timeout_s", "timeout_below_run_time", text)


def _warn_about_service(path: str, service: intent.Service, warn) -> None:
    fastest = min(task.run_time_s for task in service.tasks)
    if service.objective.response_s < fastest:
        text = f"no task of service {service.name} can end in {service.objective.response_s:g} s"
        warn(f"{path}.objective.response_s", "objective_below_run_time", text)
    slots = sum(server.slots for server in service.servers)
    if service.limits.concurrency > slots:
        text = f"service {service.name} has only {slots} slots"
        warn(f"{path}.limits.concurrency", "concurrency_above_slots", text)
