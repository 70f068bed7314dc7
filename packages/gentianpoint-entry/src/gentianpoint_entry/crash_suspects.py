"""Remembers under which requests targets ended, and refuses those requests.

The same is kept of the parts of prompts that several requests share, under
digests of their own.

A request may end each target that begins to run it, with all that runs
beside it, and its caller sends it again, at any entry. One end proves little:
the target may have been killed, and other requests ran there too. But a
request under which several targets ended, one start after another, and that no
target has answered, is refused, except for a few trials.

Entries tell each other of ends, of clearances and of trials, see
:class:`SuspectNews`. Ends and clearances are facts that never change, so they
may arrive in any order and more than once.
"""

from collections import abc
import typing

from gentianpoint_core import change_log
from gentianpoint_core import logs
from gentianpoint_core.decisions import blamed_parts
from gentianpoint_core.decisions import suspect_trials
from gentianpoint_core.generated import events
from gentianpoint_entry import request_digests

__all__ = ("CrashSuspects", "SuspectNews", "is_trial")

_MAX_ENDS: typing.Final = 3
"""Targets that may end under a request before it is refused. A request that
runs beside another one as its target ends, or is there when targets are
killed, rarely meets that so often without an answer in between."""
_REFUSED_S: typing.Final = 600.0
"""Seconds for which a request is refused after the last end of a target."""
_MAX_DOUBLINGS: typing.Final = 7
"""Times that these seconds double, once for each further target."""
_KEPT_S: typing.Final = 86_400.0
"""Seconds for which an end counts."""
_MAX_KEPT_ENDS: typing.Final = 1024
"""Ends that are remembered. A target that ends leaves one for each request
that it ran, and for each part of their prompts that was not answered lately,
so they take some hundred kilobytes at most."""
_ANSWERED_KEPT_S: typing.Final = 60.0
"""Seconds for which an answer clears a request of ends that come later. A
request that is sent often may run at all targets that are killed at once."""
_MAX_KEPT_ANSWERS: typing.Final = 8192
"""Answered requests, and parts of them, that are remembered."""
_BLAME_KEPT_S: typing.Final = 60.0
"""Seconds after which blame is found anew, as ends lapse."""
_MAX_NAME_LENGTH: typing.Final = 128
"""Longest name of a request or target that other entries may tell."""
_TRIAL: typing.Final = "trial"
"""Takes the place of the target in the key of a request's last trial."""


class SuspectNews(typing.NamedTuple):
    """A target ended while it ran a request, or a trial of it was claimed.

    A trial is told like an end that is cleared, and so counts as none to
    entries of releases that know no trials.
    """

    content: str
    """Digest of what was requested, the same for all attempts."""
    target: str
    """Identifier of the target's start, or text that names a trial."""
    ended_at: float
    """When it ended or was claimed, in seconds of the clock that all methods
    use."""
    is_cleared: bool
    """True when a target has answered the request since, or shortly before,
    so that the end says nothing about the request."""


def is_trial(news: SuspectNews) -> bool:
    """Tell whether news tell of a trial, and of no end."""
    return _parse_trial(news) is not None


class CrashSuspects:
    """The ends of targets, by the requests that they ran.

    >>> suspects = CrashSuspects()
    >>> for target in ("a", "b", "c"):
    ...     suspects.note_ends(target, ["request"], 1.0)
    >>> suspects.find_refused_until("request", 2.0)
    601.0
    >>> suspects.note_answered("request", 2.0)
    >>> suspects.find_refused_until("request", 2.0) is None
    True
    """

    def __init__(self) -> None:
        """Start without any end."""
        self._ends: typing.Final = change_log.ChangeLog[SuspectNews]()
        self._targets_by_content: typing.Final[dict[str, set[str]]] = {}
        # Used as an ordered map, the request answered last at the end.
        self._answered_at: typing.Final[dict[str, float]] = {}
        # Parts that are blamed, and until when.
        self._blamed: abc.Sequence[tuple[blamed_parts.BlamedParts, float]] = ()
        # Changes of the ends, and the time, for which that was found.
        self._blamed_for = (0, 0.0)
        self._ever_blamed: typing.Final[set[str]] = set()

    @property
    def changes(self) -> int:
        """Number of changes made so far."""
        return self._ends.changes

    def list_since(self, seen: int) -> abc.Sequence[SuspectNews]:
        """Return what changed after the first ``seen`` changes."""
        return [news for _, news in self._ends.list_since(seen)]

    def note_ends(
        self, target: str, contents: abc.Iterable[str], now: float
    ) -> bool:
        """Record that a target ended while it ran requests.

        ``contents`` are digests of requests and of parts of their prompts.
        Returns False if that is nothing new.
        """
        # Of the parts of most prompts it is known that they are harmless.
        counted = [
            content
            for content in contents
            if not (_is_part(content) and self._was_answered(content, now))
        ]
        return any(
            [
                self.merge(SuspectNews(content, target, now, False), now)
                for content in counted
            ]
        )

    def note_answered(self, content: str, now: float) -> bool:
        """Record that a target answered a request and did not end.

        Returns False if no end is cleared by that.
        """
        self._answered_at.pop(content, None)
        self._answered_at[content] = now
        if len(self._answered_at) > _MAX_KEPT_ANSWERS:
            del self._answered_at[next(iter(self._answered_at))]
        return any(
            [
                self.merge(news._replace(is_cleared=True), now)
                for news in self.list_ends(content)
            ]
        )

    def merge(self, news: SuspectNews, now: float) -> bool:
        """Merge news of this or another entry; False if they are not new."""
        if max(len(news.content), len(news.target)) > _MAX_NAME_LENGTH:
            return False
        if now - news.ended_at > _KEPT_S:
            return False
        trial = _parse_trial(news)
        if trial is not None:
            return self._merge_trial(news, trial)
        key = _make_key(news)
        known = self._ends.find(key)
        if self._was_answered(news.content, now):
            news = news._replace(is_cleared=True)
        if known is not None and known.is_cleared >= news.is_cleared:
            return False
        self._ends.put(key, news)
        was_refused = _is_part(news.content) or (
            self.find_refused_until(news.content, now) is not None
        )
        self._targets_by_content.setdefault(news.content, set()).add(
            news.target
        )
        if not was_refused and self.find_refused_until(news.content, now):
            logs.log_event(
                events.REQUEST_SUSPECTED,
                content=news.content,
                targets=sorted(self._targets_by_content[news.content]),
            )
        self._limit_kept()
        return True

    def _merge_trial(
        self, news: SuspectNews, trial: suspect_trials.Trial
    ) -> bool:
        known = self._find_trial(news.content)
        if known is not None and (
            suspect_trials.prefer(news.content, known, trial) is known
        ):
            return False
        self._ends.put(_make_key(news), news)
        self._limit_kept()
        return True

    def _find_trial(
        self, content: str
    ) -> typing.Optional[suspect_trials.Trial]:
        """Return the last trial of a request, of any entry."""
        news = self._ends.find(f"{content}/{_TRIAL}")
        return None if news is None else _parse_trial(news)

    def find_trial_at(
        self, content: str, now: float
    ) -> typing.Optional[float]:
        """Return when a refused request may next be tried, else None."""
        refusal = self._find_refusal(content, now)
        if refusal is None:
            return None
        return suspect_trials.find_next_at(refusal)

    def plan_trial(
        self, content: str, claimant: str, now: float
    ) -> typing.Optional[SuspectNews]:
        """Return the news with which an entry claims a trial, if one is due.

        The claim counts once it is merged here, and at the other entries.
        """
        refusal = self._find_refusal(content, now)
        if refusal is None:
            return None
        trial = suspect_trials.claim_next(refusal, claimant, now)
        if trial is None:
            return None
        name = suspect_trials.format_trial(trial)
        return SuspectNews(content, name, now, is_cleared=True)

    def _find_refusal(
        self, content: str, now: float
    ) -> typing.Optional[suspect_trials.Refusal]:
        if self.find_refused_until(content, now) is None:
            return None
        ended_at = sorted(self._list_counted(content, now).values())
        return suspect_trials.Refusal(
            ended_at[_MAX_ENDS - 1], ended_at[-1], self._find_trial(content)
        )

    def holds_trial(self, claim: SuspectNews) -> bool:
        """Tell whether a claim is the one that counts."""
        trial = _parse_trial(claim)
        return (
            trial is not None and self._find_claimant(claim) == trial.claimant
        )

    def has_rival(self, claim: SuspectNews) -> bool:
        """Tell whether a claim to the same trial is known already."""
        return self._find_claimant(claim) is not None

    def _find_claimant(self, claim: SuspectNews) -> typing.Optional[str]:
        """Return whose claim to the trial of ``claim`` counts, if any does."""
        known = self._find_trial(claim.content)
        trial = _parse_trial(claim)
        if known is None or trial is None:
            return None
        is_same = suspect_trials.are_rivals(known, trial)
        return known.claimant if is_same else None

    def _was_answered(self, content: str, now: float) -> bool:
        answered_at = self._answered_at.get(content)
        return answered_at is not None and now - answered_at < _ANSWERED_KEPT_S

    def find_refused_until(
        self, content: str, now: float
    ) -> typing.Optional[float]:
        """Return until when a request is refused; None if it may run.

        After that it may run again, since the cause may be gone; until the
        next end all entries let it.
        """
        ended_at = self._list_counted(content, now)
        if len(ended_at) < _MAX_ENDS:
            return None
        refused_until = _find_refused_until(ended_at)
        return refused_until if now < refused_until else None

    def find_parts_refused_until(
        self, parts: abc.Collection[str], now: float
    ) -> typing.Optional[float]:
        """Return until when a prompt with ``parts`` is refused, or None."""
        return max(
            (until for _, until in self._list_blamed_in(parts, now)),
            default=None,
        )

    def list_refused(
        self, content: str, parts: abc.Collection[str], now: float
    ) -> abc.Sequence[str]:
        """Return what a request is refused for, by which trials are claimed.

        That is its own digest, or one of each group of parts.
        """
        whole = self.find_refused_until(content, now)
        return [
            *([] if whole is None else [content]),
            *(
                min(blamed.parts)
                for blamed, _ in self._list_blamed_in(parts, now)
            ),
        ]

    def _list_blamed_in(
        self, parts: abc.Collection[str], now: float
    ) -> abc.Sequence[tuple[blamed_parts.BlamedParts, float]]:
        """Return what is blamed of a prompt, and until when."""
        if not parts:
            return ()
        return [
            (blamed, until)
            for blamed, until in self._find_blamed(now)
            if now < until and blamed.parts.issubset(parts)
        ]

    def _find_blamed(
        self, now: float
    ) -> abc.Sequence[tuple[blamed_parts.BlamedParts, float]]:
        changes, found_at = self._blamed_for
        if changes == self.changes and now - found_at < _BLAME_KEPT_S:
            return self._blamed
        self._blamed_for = (self.changes, now)
        ends = {
            content: self._list_counted(content, now)
            for content, targets in self._targets_by_content.items()
            if len(targets) >= _MAX_ENDS and _is_part(content)
        }
        self._blamed = [
            (blamed, _find_refused_until(ends[next(iter(blamed.parts))]))
            for blamed in blamed_parts.blame_parts(
                {part: ended_at.keys() for part, ended_at in ends.items()},
                _MAX_ENDS,
            )
        ]
        for blamed, _ in self._blamed:
            if not blamed.parts <= self._ever_blamed:
                self._ever_blamed.update(blamed.parts)
                logs.log_event(
                    events.PROMPT_PARTS_SUSPECTED,
                    parts=sorted(blamed.parts),
                    targets=sorted(blamed.targets),
                )
        return self._blamed

    def was_ever_refused(self, content: str) -> bool:
        """Tell whether a request is refused, or was before it was cleared."""
        if _is_part(content):
            self._find_blamed(self._blamed_for[1])
            return content in self._ever_blamed
        return len(self._targets_by_content.get(content, ())) >= _MAX_ENDS

    def list_ever_refused(self) -> abc.Sequence[str]:
        """Return the requests, and parts of them, that were ever refused."""
        return [
            content
            for content in self._targets_by_content
            if self.was_ever_refused(content)
        ]

    def would_refuse(self, content: str, ends: int, now: float) -> bool:
        """Tell whether so many more ends would make a request be refused."""
        return len(self._list_counted(content, now)) + ends >= _MAX_ENDS

    def _list_counted(self, content: str, now: float) -> dict[str, float]:
        """Return when each target ended, without ends that are cleared."""
        if content not in self._targets_by_content:
            return {}
        return {
            news.target: news.ended_at
            for news in self.list_ends(content)
            if not news.is_cleared and now - news.ended_at <= _KEPT_S
        }

    def list_ends(self, content: str) -> abc.Sequence[SuspectNews]:
        """Return all ends of targets that ran a request."""
        ends = [
            self._ends.find(f"{content}/{target}")
            for target in self._targets_by_content.get(content, ())
        ]
        return [news for news in ends if news is not None]

    def _limit_kept(self) -> None:
        """Drop the end that says least if there are too many.

        That is the oldest one of a request with a single end, or else the
        oldest of all. The same holds for trials.
        """
        if len(self._ends) <= _MAX_KEPT_ENDS:
            return
        rows = self._ends.list_all()
        dropped = next(
            (
                news
                for _, news in rows
                if len(self._targets_by_content.get(news.content, ())) <= 1
            ),
            rows[0][1],
        )
        self._ends.drop(_make_key(dropped))
        targets = self._targets_by_content.get(dropped.content, set())
        targets.discard(dropped.target)
        if not targets:
            self._targets_by_content.pop(dropped.content, None)


def _parse_trial(news: SuspectNews) -> typing.Optional[suspect_trials.Trial]:
    """Return the trial that news tell of, None if they tell of an end."""
    if not news.is_cleared:
        return None
    return suspect_trials.parse_trial(news.target, news.ended_at)


def _make_key(news: SuspectNews) -> str:
    """Return the key of an end, or the only one for trials of a request."""
    target = _TRIAL if is_trial(news) else news.target
    return f"{news.content}/{target}"


def _is_part(content: str) -> bool:
    """Tell whether a digest is that of a part of prompts."""
    return content.startswith(request_digests.PART_PREFIX)


def _find_refused_until(ended_at: abc.Mapping[str, float]) -> float:
    """Return until when what targets ended under is refused."""
    doublings = min(len(ended_at) - _MAX_ENDS, _MAX_DOUBLINGS)
    return max(ended_at.values()) + _REFUSED_S * 2.0**doublings
