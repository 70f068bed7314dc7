"""Shows one generation on its way: ``make demo``.

Starts a small local deployment, declares its services, streams one
generation token by token to the terminal, shows what each hop did, makes a
call to a plain service, and stops everything.
"""

from collections import abc
import json
import sys
import time
import typing

import httpx

from gentianpoint_standins import deployment
from gentianpoint_standins import deployment_files
from gentianpoint_standins import processes
from gentianpoint_standins import profiles

__all__ = ("main",)

_PROMPT: typing.Final = (
    "Estator de 5 HP, 36 ranuras, fase B quemada. Que revisamos primero?"
)
_OPTIONS: typing.Final[abc.Mapping[str, processes.Option]] = {
    "trace_log": True,
    "log_level": "debug",
}
_CALL_TIMEOUT_S: typing.Final = 60.0
_SPANS_WITHIN_S: typing.Final = 5.0
_POLL_S: typing.Final = 0.05
_SPANS: typing.Final = frozenset(("entry call", "agent call"))
_NANOSECONDS_IN_MS: typing.Final = 1e6
_DATA: typing.Final = "data: "
_DONE: typing.Final = "[DONE]"


class DemoError(Exception):
    """The demo did not see what it should show."""


class _Hop(typing.NamedTuple):
    began_ns: int
    host: str
    span: str
    duration_ms: float
    trace: str


def _say(text: str) -> None:
    print(text, flush=True)


def _stream_generation(url: str, key: str) -> None:
    """Print a generation token by token as it comes."""
    body = {
        "model": "modelo-taller",
        "messages": [{"role": "user", "content": _PROMPT}],
        "stream": True,
    }
    with httpx.stream(
        "POST",
        f"{url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {key}"},
        timeout=_CALL_TIMEOUT_S,
    ) as answer:
        if answer.is_error:
            answer.read()
            raise DemoError(f"{answer.status_code}: {answer.text}")
        generation = answer.headers["gentianpoint-generation"]
        _say(f"generation {generation}:\n")
        count = _print_tokens(answer.iter_lines())
    _say(f"\n\n{count} tokens, ended by [DONE].")


def _print_tokens(lines: abc.Iterable[str]) -> int:
    count = 0
    for line in lines:
        if not line.startswith(_DATA):
            continue
        data = line.removeprefix(_DATA)
        if data == _DONE:
            return count
        chunk = json.loads(data)
        if "error" in chunk:
            raise DemoError(f"the generation ended early: {chunk['error']}")
        for choice in chunk["choices"]:
            text = choice["delta"].get("content") or ""
            count += 1 if text else 0
            print(text, end="", flush=True)
    raise DemoError("the stream ended without [DONE]")


def _list_hops(local: processes.LocalDeployment) -> list[_Hop]:
    return sorted(
        _Hop(
            event["began_ns"],
            event["host"],
            event["span"],
            event["duration_ms"],
            event["trace"],
        )
        for handle in local.handles
        for event in handle.log.find_events("span_finished")
    )


def _find_generation_hops(local: processes.LocalDeployment) -> list[_Hop]:
    """Return the hops of the newest trace that reached an agent."""
    agents = {row.name for row in local.handles if row.kind == "agent"}
    hops = _list_hops(local)
    traces = [hop.trace for hop in hops if hop.host in agents]
    return [hop for hop in hops if traces and hop.trace == traces[-1]]


def _show_hops(local: processes.LocalDeployment) -> None:
    """Print the spans of the generation, once entry and agent wrote theirs."""
    deadline = time.monotonic() + _SPANS_WITHIN_S
    hops = _find_generation_hops(local)
    while not {hop.span for hop in hops} >= _SPANS:
        if time.monotonic() > deadline:
            raise DemoError(f"not all hops wrote a span, only {hops}")
        time.sleep(_POLL_S)
        hops = _find_generation_hops(local)
    _say(f"trace {hops[0].trace}:")
    for hop in hops:
        after_ms = (hop.began_ns - hops[0].began_ns) / _NANOSECONDS_IN_MS
        _say(
            f"  +{after_ms:8.1f} ms  {hop.host:<10}  {hop.span:<20}"
            f"  {hop.duration_ms:8.1f} ms"
        )


def _show_declared(
    local: processes.LocalDeployment, page: deployment_files.Deployment
) -> None:
    url = f"{page['entries'][0]['url']}/admin/v1/services"
    for item in local.call("GET", url)["items"]:
        _say(f"  {item['name']} at revision {item['revision']}")


def _call_plain(page: deployment_files.Deployment) -> None:
    answer = httpx.get(
        f"{page['entries'][0]['url']}/services/app-banco/echo/trabajo/17",
        headers={"Authorization": f"Bearer {page['customers'][0]['key']}"},
        timeout=_CALL_TIMEOUT_S,
    )
    if answer.is_error:
        raise DemoError(f"{answer.status_code}: {answer.text}")
    echoed = answer.json()
    _say(f"  {echoed['target']} got {echoed['method']} {echoed['path']}")


def _show_all(local: processes.LocalDeployment) -> None:
    _say("Starting a log service, a host list, a weight store, an entry,")
    _say("and two engines and a plain service with an agent each ...")
    page = deployment.start_profile(local, profiles.DEMO, _OPTIONS)
    for handle in local.handles:
        _say(f"  {handle.kind:<8} {handle.name:<16} {handle.url}")
    _say("\nServices declared through the administration API, in force:")
    _show_declared(local, page)
    _say(f"\nPrompt: {_PROMPT}")
    _stream_generation(page["entries"][0]["url"], page["customers"][0]["key"])
    _say("\nWhat each hop did:")
    _show_hops(local)
    _say("\nA call to the plain service:")
    _call_plain(page)


def main() -> int:
    """Run the demo and return the exit code."""
    with processes.LocalDeployment() as local:
        try:
            _show_all(local)
        except (
            DemoError,
            processes.DeploymentError,
            httpx.HTTPError,
            TimeoutError,
        ) as error:
            _say(f"\nThe demo failed: {error}")
            return 1
    _say("\nAll processes stopped.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
