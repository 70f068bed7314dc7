"""What each role costs at the target's sizes, from the committed results.

Every figure is a measured slope times a size of the target, or a default of
the settings; none is copied by hand.
"""

from collections import abc
import json
import math
import pathlib
import typing

from bench import measures
from gentianpoint_agent import report_periods
from gentianpoint_core import peer_connections
from gentianpoint_entry import host_watch
from gentianpoint_entry import link_pool
from gentianpoint_entry import link_settings
from gentianpoint_entry import status_records

__all__ = ("Budget", "Model", "Role", "load_model")

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
RESULTS: typing.Final = ROOT / "bench" / "results" / "latest.json"

ENTRIES: typing.Final = 380
AGENTS: typing.Final = 2700
SERVICES: typing.Final = 11
CUSTOMERS: typing.Final = 48_000
REQUESTS_S: typing.Final = 8200
TOKENS_S: typing.Final = 1_700_000
TOKEN_GAP_S: typing.Final = 0.030
CHANGES_DAY: typing.Final = 2900
"""Each is counted both as one of a customer and as one of a service."""
DATA_CENTRES: typing.Final = 16
REGIONS: typing.Final = 7
RACK_HOSTS: typing.Final = 40
FAILED_DAY: typing.Final = 22
REPLACED_DAY: typing.Final = 590
DAY_S: typing.Final = 86_400
RETAIN_S: typing.Final = 300
USABLE_SHARE: typing.Final = 0.6
"""Share of a core that a process should use at the peak."""
BUDGET_CPU: typing.Final = 0.022
BUDGET_MEMORY: typing.Final = 64e6
BUDGET_BYTES_S: typing.Final = 5000.0
SEGMENT_HEADER: typing.Final = 52
FRAME_BYTES: typing.Final = 6
LOG_POLL_S: typing.Final = 2.0
LOG_POLL_BYTES: typing.Final = 600
"""One idle long poll of the log: worked out from its two HTTP heads."""
REPORTED_PREFIXES: typing.Final = 64
"""Prefixes that an agent names in a report once its cache is warm."""
STATUS_AGAIN_S: typing.Final = 60.0
"""Time after which an entry writes its status again unchanged."""
RECONNECT_BYTES: typing.Final = 900
"""Handshakes of TCP and websocket, worked out from their heads."""


class Budget(typing.NamedTuple):
    """What control costs a node."""

    cpu: float
    """Share of a core."""
    bytes_s: float
    """Bytes a second, with headers, both directions."""
    memory: float
    """Bytes beyond the interpreter and libraries."""


class Role(typing.NamedTuple):
    """What one process carries at the target size."""

    links: float
    """Connections to the other role."""
    requests_s: float
    """Requests a second at the peak."""
    tokens_s: float
    """Tokens a second at the peak."""
    streams: float
    """Streams at a time at the peak."""
    busy_links: float
    """Connections with at least one stream."""
    carrying_messages_s: float
    """Messages with tokens a second."""
    carrying_cpu: float
    """Share of a core for requests and tokens."""
    carrying_memory: float
    """Bytes for streams and kept tokens."""
    control: Budget
    """Cost of control."""
    at_rest: float
    """Bytes of memory of a process without peers."""
    imports: float
    """Bytes of the interpreter with the libraries."""


def _read_default(process: str, name: str) -> int:
    schema = json.loads((ROOT / "schema" / "settings.json").read_text())
    for setting in schema["processes"][process]["settings"]:
        if setting["name"] == name:
            return int(setting["default"])
    raise KeyError(name)


class Model:
    """Slopes and what follows from them."""

    def __init__(self, results: abc.Mapping[str, typing.Any]) -> None:
        """Take the slopes of ``results``."""
        self.results: typing.Final = results
        self.series: typing.Final = [
            measures.Series(**row)
            for run in results["runs"]
            for row in run["series"]
        ]
        self.links_per_service: typing.Final = self.count_links(1)
        self.links: typing.Final = self.links_per_service * SERVICES
        self.report_s: typing.Final = self.compute_report_s(self.links)
        self.prefixes_s: typing.Final = self.compute_prefixes_s(self.links)
        self.beat_s: typing.Final = (
            _read_default("entry", "heartbeat-ms") / 1000
        )
        allowed_ticks = _read_default("entry", "silence-ms") // _read_default(
            "entry", "heartbeat-ms"
        )
        self.idle_beat_s: typing.Final = (
            self.beat_s
            * peer_connections.count_idle_heartbeat_ticks(allowed_ticks)
        )
        self.entry: typing.Final = self._work_out_entry()
        self.agent: typing.Final = self._work_out_agent()

    def count_links(self, processes: int) -> int:
        """Return a process's links for a service, of so many on its host."""
        return link_pool.compute_link_count(
            AGENTS // SERVICES,
            ENTRIES * processes,
            link_pool.compute_min_links(
                _read_default("entry", "links-per-service"), processes
            ),
        )

    def slope(self, name: str) -> float:
        """Return the slope of a series."""
        return measures.fit_series(
            measures.find_series(self.series, name)
        ).slope

    def intercept(self, name: str) -> float:
        """Return a series at size zero."""
        return measures.fit_series(
            measures.find_series(self.series, name)
        ).intercept

    def mean_at(self, name: str, place: int) -> float:
        """Return the mean of a series at its size number ``place``."""
        values = measures.find_series(self.series, name).values[place]
        return sum(values) / len(values)

    def wire(self, message: str) -> float:
        """Return a message's bytes on the wire with all that goes with it."""
        payload = self.slope(f"message.{message}_bytes")
        return payload + FRAME_BYTES + SEGMENT_HEADER * self.segments

    def report_wire(self, prefixes: int) -> float:
        """Return the bytes on the wire of a report with prefixes."""
        name = "message.report_by_prefix_bytes"
        payload = self.intercept(name) + prefixes * self.slope(name)
        return payload + FRAME_BYTES + SEGMENT_HEADER * self.segments

    @property
    def segments(self) -> float:
        """Segments for each message, acknowledgements included."""
        measured = self.slope("idle.segments")
        payload = self.slope("idle.payload")
        report = self.slope("message.report_bytes") + FRAME_BYTES
        return measured / (payload / report)

    def hosts_pause_s(self, processes: int = 1) -> float:
        """Return the time between a process's readings of the host list."""
        pause_ms = host_watch.compute_poll_interval_ms(
            1000, round(self.hosts_bytes()), processes
        )
        return pause_ms / 1000

    def hosts_bytes(self) -> float:
        """Return the bytes of the host list at the target size."""
        series = measures.find_series(self.series, "hosts.gzip_bytes")
        fit = measures.fit_series(series)
        return fit.slope * (ENTRIES + AGENTS) + fit.intercept

    def hosts_cpu_us(self) -> float:
        """Return microseconds for one reading of the host list."""
        return self.slope("hosts.cpu") * (ENTRIES + AGENTS)

    def _count_busy(self, links: float, streams: float) -> float:
        return links * (1 - math.exp(-streams / links))

    def message_us(self, role: str) -> float:
        """Return the microseconds of one more message in a step.

        From the difference between streams on one connection and on eight;
        noise can make it negative, which is taken as nothing.
        """
        many = self.intercept(f"eight_links.{role}_step_cpu")
        one = self.intercept(f"one_link.{role}_step_cpu")
        return max(0.0, (many - one) / 7)

    def _work_out_entry(self) -> Role:
        requests_s = REQUESTS_S / ENTRIES
        tokens_s = TOKENS_S / ENTRIES
        streams = tokens_s * TOKEN_GAP_S
        busy = self._count_busy(self.links, streams)
        steps_s = 1 / TOKEN_GAP_S
        step_us = (
            max(0.0, self.intercept("one_link.entry_step_cpu"))
            + (busy - 1) * self.message_us("entry")
            + streams * self.slope("eight_links.entry_step_cpu")
        )
        cpu_us = requests_s * self.slope("request.entry_cpu")
        cpu_us += steps_s * step_us
        return Role(
            self.links,
            requests_s,
            tokens_s,
            streams,
            busy,
            busy * steps_s,
            cpu_us / 1e6,
            streams * self.slope("memory.entry_stream"),
            self.find_host_control(1),
            self.slope("memory.entry_at_rest"),
            self.slope("memory.entry_imports"),
        )

    def entry_control_rows(
        self, processes: int = 1
    ) -> list[tuple[str, float, float, float]]:
        """Return parts of an entry host's control.

        Each row has messages, bytes and the share of a core of all the
        host's entry processes.
        """
        service_links = self.count_links(processes) * processes
        links = service_links * SERVICES
        report_s = self.compute_report_s(links)
        beats = links / self.idle_beat_s
        # Agents beat when their reports are further apart than heartbeats.
        agent_beats = (
            links / report_s * math.floor(report_s / self.idle_beat_s)
        )
        reports = links / report_s
        prefixes_s = links / self.compute_prefixes_s(links)
        prefixes_bytes = self.report_wire(
            REPORTED_PREFIXES
        ) - self.report_wire(0)
        polls = processes / LOG_POLL_S
        readings = processes / self.hosts_pause_s(processes)
        changes = CHANGES_DAY / DAY_S
        folds = changes * processes
        fold_us = self.slope("configuration.fold_cpu_mean")
        told = changes * service_links
        told_us = self.slope("idle.agent_report_cpu") + self.slope(
            "idle.entry_heartbeat_cpu"
        )
        written = self.status_s() * processes
        return [
            (
                "heartbeats sent and received",
                beats + agent_beats,
                (beats + agent_beats) * self.wire("heartbeat"),
                (beats + agent_beats)
                * self.slope("idle.entry_heartbeat_cpu")
                / 1e6,
            ),
            (
                "load reports received, without prefixes",
                reports,
                reports * self.report_wire(0),
                reports * self.slope("idle.entry_report_cpu") / 1e6,
            ),
            (
                f"up to {REPORTED_PREFIXES} prefixes in each tenth report",
                0.0,
                prefixes_s * prefixes_bytes,
                0.0,
            ),
            (
                "long polls of the log, host list poll and idle loop",
                polls,
                polls * LOG_POLL_BYTES,
                processes * max(0.0, self.intercept("idle.entry_cpu")) / 1e6,
            ),
            (
                "host list readings",
                readings,
                readings * self.hosts_bytes(),
                readings * self.hosts_cpu_us() / 1e6,
            ),
            (
                "configuration records folded",
                folds,
                folds * self.slope("configuration.record_bytes") * 4 / 3,
                folds * fold_us / 1e6,
            ),
            (
                "services passed on to their agents",
                told,
                told * self.configure_bytes(),
                told * told_us / 1e6,
            ),
            (
                "status records written",
                written,
                written * (self.status_bytes(processes) + LOG_POLL_BYTES),
                written * self.slope("request.entry_cpu") / 1e6,
            ),
        ]

    def compute_report_s(self, host_links: int) -> float:
        """Return the time between reports on a host with so many links."""
        own_ms = _read_default("agent", "report-ms")
        return max(own_ms, link_settings.compute_report_ms(host_links)) / 1000

    def compute_prefixes_s(self, host_links: int) -> float:
        """Return the time between reports with prefixes, likewise."""
        periods = report_periods.choose_periods(
            _read_default("agent", "report-ms"),
            link_settings.compute_report_ms(host_links),
        )
        return periods.prefixes_ms / 1000

    def count_processes(self) -> int:
        """Return the entry processes that a host needs at the peak."""
        return max(1, math.ceil(self.entry.carrying_cpu / USABLE_SHARE))

    def find_host_control(self, processes: int) -> Budget:
        """Return what control costs a host with so many entry processes."""
        rows = self.entry_control_rows(processes)
        links = self.count_links(processes) * SERVICES
        return Budget(
            sum(row[3] for row in rows),
            sum(row[2] for row in rows),
            processes * self._sum_entry_memory(links),
        )

    def _sum_entry_memory(self, links: int) -> float:
        return (
            links * self.slope("idle.entry_memory")
            + CUSTOMERS * self.slope("configuration.memory")
            + (ENTRIES + AGENTS) * self.slope("hosts.memory")
        )

    def configure_bytes(self) -> float:
        """Return the bytes to tell one agent and to get its word."""
        return self.wire("configure") + self.wire("configured")

    def status_s(self) -> float:
        """Return the status records an entry writes a second."""
        return CHANGES_DAY / DAY_S + 1 / STATUS_AGAIN_S

    def status_bytes(self, processes: int = 1) -> float:
        """Return the bytes of a status record that names all agents."""
        links = self.count_links(processes) * SERVICES
        agents = [f"host-{number:05}" for number in range(links)]
        record = status_records.make_status("host-00123", 123456, agents)
        return len(status_records.encode_status(record))

    def agent_control_rows(self) -> list[tuple[str, float, float, float]]:
        """Return parts of an agent's control: messages, bytes, cpu share."""
        links = self.links * ENTRIES / AGENTS
        beats = links / self.idle_beat_s
        reports = links / self.report_s
        # Each change is counted as one of a service, an eleventh of them as
        # those of this agent's.
        changes = CHANGES_DAY / DAY_S * links / SERVICES
        return [
            (
                "heartbeats received",
                beats,
                beats * self.wire("heartbeat"),
                beats * self.slope("idle.entry_heartbeat_cpu") / 1e6,
            ),
            (
                "load reports sent, counted as if all had "
                f"{REPORTED_PREFIXES} prefixes",
                reports,
                reports * self.report_wire(REPORTED_PREFIXES),
                reports * self.slope("idle.agent_report_cpu") / 1e6,
            ),
            (
                "engine load read locally, and idle loop",
                0.0,
                0.0,
                max(0.0, self.intercept("idle.agent_cpu")) / 1e6,
            ),
            (
                "configuration passed on by entries",
                changes,
                changes * self.configure_bytes(),
                changes * self.slope("idle.agent_report_cpu") / 1e6,
            ),
        ]

    def _work_out_agent(self) -> Role:
        rows = self.agent_control_rows()
        links = self.links * ENTRIES / AGENTS
        requests_s = REQUESTS_S / AGENTS
        tokens_s = TOKENS_S / AGENTS
        streams = tokens_s * TOKEN_GAP_S
        busy = self._count_busy(links, streams)
        steps_s = 1 / TOKEN_GAP_S
        step_us = (
            max(0.0, self.intercept("one_link.agent_step_cpu"))
            + (busy - 1) * self.message_us("agent")
            + streams * self.slope("one_link.agent_step_cpu")
        )
        cpu_us = requests_s * self.slope("request.agent_cpu")
        cpu_us += steps_s * step_us
        kept = tokens_s * RETAIN_S * self.slope("memory.buffered_token")
        return Role(
            links,
            requests_s,
            tokens_s,
            streams,
            busy,
            busy * steps_s,
            cpu_us / 1e6,
            streams * self.slope("memory.agent_stream") + kept,
            Budget(
                sum(row[3] for row in rows),
                sum(row[2] for row in rows),
                links * self.slope("idle.agent_memory"),
            ),
            self.slope("memory.agent_at_rest"),
            self.slope("memory.agent_imports"),
        )


def load_model() -> Model:
    """Return the model of the committed results."""
    return Model(json.loads(RESULTS.read_text()))
