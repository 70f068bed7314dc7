"""The loads that are replayed."""

import typing

from bench.replay import shapes

__all__ = ("LOADS",)

_REPORT: typing.Final = shapes.StreamKind(
    name="report",
    per_s=1.73,
    prompt_tokens=3079,
    prompt_spread=0.35,
    answer_events=234,
    answer_spread=0.84,
    most_events=554,
    objective_ms=1800,
    pause_ms=180,
    deadline_ms=39_000,
    worth=130,
    late_worth=20,
    may_resume=False,
    max_attempts=1,
)
_TAG: typing.Final = shapes.StreamKind(
    name="tag",
    per_s=2.43,
    prompt_tokens=2200,
    prompt_spread=0.6,
    answer_events=4,
    answer_spread=0.89,
    most_events=15,
    objective_ms=1500,
    pause_ms=180,
    deadline_ms=6000,
    worth=14,
    late_worth=2.1,
    may_resume=True,
    max_attempts=2,
)
_KINDS: typing.Final = (_REPORT, _TAG)
_ASSESSMENT: typing.Final = _REPORT._replace(
    name="assessment",
    per_s=2.32,
    answer_events=232,
    most_events=549,
    worth=160,
    late_worth=24,
)
_TRIAGE: typing.Final = _TAG._replace(
    name="triage",
    per_s=3.23,
    prompt_tokens=2550,
    most_events=13,
    worth=17,
    late_worth=2.5,
    may_resume=False,
    max_attempts=1,
)
_BUSIER: typing.Final = (_ASSESSMENT, _TRIAGE)
"""A third more of both kinds, on engines with a quarter of the slots."""
_CROWDED: typing.Final = (
    _ASSESSMENT._replace(
        per_s=15.5, answer_events=188, answer_spread=1.344, most_events=445
    ),
    _TRIAGE._replace(per_s=17.5, answer_events=3, most_events=10),
)
"""Five to seven times as much of both on engines with less memory, which take
four to five long generations each."""
_MOSTLY_SHORT: typing.Final = (
    _REPORT._replace(
        per_s=12.4, answer_events=188, answer_spread=1.344, most_events=445
    ),
    _TAG._replace(
        per_s=24.1, prompt_tokens=2550, answer_events=3, most_events=8
    ),
)
"""Two short generations for each long one, which have most of the prompts."""
_STAYING: typing.Final = shapes.Leaving(every_s=0)
_AS_ANNOUNCED: typing.Final = shapes.Leaving(known_after_s=(0.7, 0.85))
"""New engines are known once their agents tell of them."""
_FOUR_AT_ONCE: typing.Final = _AS_ANNOUNCED._replace(at_once=4)
_BUSIER_LOAD: typing.Final = shapes.Load(
    "busier",
    "a third more of both kinds, while engines of few slots leave",
    _BUSIER,
    engines=6,
    leaving=_AS_ANNOUNCED,
    slots=24,
    memory_tokens=34_359,
)

_MOSTLY_SHORT_LOAD: typing.Final = shapes.Load(
    "mostly short",
    "two short generations for each long one, before many entries",
    _MOSTLY_SHORT,
    engines=27,
    entries=29,
    leaving=_FOUR_AT_ONCE,
    length_s=16.0,
    slots=24,
    memory_tokens=21_847,
    report_lag_s=0.15,
)

_BURST_SHORT: typing.Final = _TRIAGE._replace(
    name="short",
    per_s=9.25,
    answer_events=2,
    most_events=6,
    worth=58,
    late_worth=3.5,
    priority=0,
)
_BURST_LONG: typing.Final = _ASSESSMENT._replace(
    name="long",
    per_s=4.75,
    answer_events=187,
    answer_spread=1.344,
    most_events=445,
    objective_ms=4000,
    worth=110,
    late_worth=26,
    priority=2,
)
_WAVE_SHORT: typing.Final = _BURST_SHORT._replace(
    per_s=6.8, answer_events=3, most_events=8, worth=26, late_worth=3.9
)
_WAVE_LONG: typing.Final = _BURST_LONG._replace(
    per_s=6.1,
    answer_events=186,
    objective_ms=1800,
    worth=190,
    late_worth=28,
    priority=1,
)
_BURSTS_LOAD: typing.Final = shapes.Load(
    "short after long",
    "a burst of long generations, and 4 s after its end one of short ones",
    (_BURST_LONG, _BURST_SHORT),
    engines=12,
    data_centres=4,
    entries=13,
    length_s=20.0,
    leaving=_AS_ANNOUNCED._replace(at_once=2, notice_s=(1.5, 2.1)),
    surges=(
        shapes.Surge(3, 6, 2.35, "long"),
        shapes.Surge(13, 3.5, 1.7, "short"),
    ),
    slots=24,
    memory_tokens=26_903,
    report_lag_s=0.15,
    controls_room=True,
)
"""The first customer of docs/LOAD-CONTROL.md, with half of its rates, engines
and entries."""
_WAVE_LOAD: typing.Final = shapes.Load(
    "wave",
    "one wave over all data centres",
    (_WAVE_LONG, _WAVE_SHORT),
    engines=12,
    data_centres=3,
    entries=14,
    length_s=25.0,
    leaving=_STAYING,
    wave=shapes.Wave(0.55),
    slots=24,
    memory_tokens=27_020,
    report_lag_s=0.15,
    controls_room=True,
)
"""The second customer of docs/LOAD-CONTROL.md, with half of its rates,
engines and entries."""

_FATAL_LOAD: typing.Final = shapes.Load(
    "fatal requests",
    "two requests come again and again and end the engines that run them",
    _KINDS,
    engines=9,
    leaving=_STAYING,
    length_s=60.0,
    crashes=shapes.Crashes(contents=2),
)

_ALL: typing.Final = (
    shapes.Load(
        "leaving",
        "an engine leaves every three seconds, two seconds after its notice",
        _KINDS,
    ),
    shapes.Load(
        "leaving, four centres",
        "the same, with nearly each engine in a data centre of its own",
        _KINDS,
        data_centres=4,
    ),
    shapes.Load(
        "leaving, listed late",
        "the same, with new engines known from the list only",
        _KINDS,
        leaving=shapes.Leaving(known_after_s=(0.7, 1.6)),
    ),
    shapes.Load(
        "staying",
        "the usual load, and no engine leaves",
        _KINDS,
        leaving=_STAYING,
    ),
    shapes.Load(
        "burst",
        "all callers at once, while engines leave",
        _KINDS,
        surges=(shapes.Surge(10, 4, 2.5),),
    ),
    shapes.Load(
        "burst of reports",
        "long generations come at once, while engines leave",
        _KINDS,
        surges=(shapes.Surge(10, 5, 2.0, "report"),),
    ),
    shapes.Load(
        "burst of tags",
        "short generations come at once, while engines leave",
        _KINDS,
        surges=(shapes.Surge(10, 5, 5.0, "tag"),),
    ),
    shapes.Load(
        "slow engine",
        "one engine works four times slower",
        _KINDS,
        leaving=_STAYING,
        slow_engines=1,
    ),
    shapes.Load(
        "half gone",
        "half of the engines die without notice",
        _KINDS,
        leaving=_STAYING,
        gone_at=12,
    ),
    _FATAL_LOAD,
    _FATAL_LOAD._replace(
        name="fatal requests, many",
        answers="six such requests",
        crashes=shapes.Crashes(contents=6),
    ),
    _FATAL_LOAD._replace(
        name="fatal requests, more engines",
        answers="the same two on four times the engines and callers",
        kinds=tuple(kind._replace(per_s=4 * kind.per_s) for kind in _KINDS),
        engines=36,
    ),
    _FATAL_LOAD._replace(
        name="engines killed",
        answers="an engine is killed every two seconds, by nobody's request",
        crashes=shapes.Crashes(killed_every_s=2.0),
    ),
    _FATAL_LOAD._replace(
        name="fatal requests, engines killed",
        answers="both",
        crashes=shapes.Crashes(contents=2, killed_every_s=2.0),
    ),
    _BUSIER_LOAD,
    _BUSIER_LOAD._replace(
        name="busier, all lost",
        answers="the same, and at the end all entries are killed at once",
        lost_at=34.0,
    ),
    _BUSIER_LOAD._replace(
        name="busier, fewer engines",
        answers="the same on half of the engines",
        engines=3,
    ),
    _BUSIER_LOAD._replace(
        name="busier, more engines",
        answers="the same on twice the engines",
        engines=12,
    ),
    _BUSIER_LOAD._replace(
        name="busier, little memory",
        answers="the same with a quarter of the memory, on twice the engines",
        engines=12,
        memory_tokens=8_600,
    ),
    _BUSIER_LOAD._replace(
        name="busier, slow links",
        answers="the same with links that are ten times slower",
        link_mbps=270.0,
    ),
    _BUSIER_LOAD._replace(
        name="busier, long answers",
        answers="a fifth of the generations, each three times as long",
        kinds=(
            _ASSESSMENT._replace(
                per_s=0.46, answer_events=696, most_events=1647
            ),
            _TRIAGE,
        ),
    ),
    _BUSIER_LOAD._replace(
        name="busier, prompts only",
        answers="short answers alone, twice as many",
        kinds=(_TRIAGE._replace(per_s=6.46),),
    ),
    _BUSIER_LOAD._replace(
        name="crowded",
        answers="many entries, and engines whose memory is full as four leave",
        kinds=_CROWDED,
        engines=25,
        entries=28,
        leaving=_FOUR_AT_ONCE,
        memory_tokens=21_907,
    ),
    _BUSIER_LOAD._replace(
        name="many entries, old reports",
        answers="a fleet whose entries pass reports on, while four leave",
        kinds=(
            _ASSESSMENT._replace(per_s=9.3),
            _TRIAGE._replace(per_s=13.0),
        ),
        engines=24,
        entries=68,
        data_centres=5,
        leaving=_FOUR_AT_ONCE,
        length_s=16.0,
        report_lag_s=0.4,
    ),
    _MOSTLY_SHORT_LOAD,
    _MOSTLY_SHORT_LOAD._replace(
        name="mostly short, burst of short",
        answers="the same, with two and a half times the short ones for 10 s",
        surges=(shapes.Surge(4, 10, 2.5, "tag"),),
    ),
    _MOSTLY_SHORT_LOAD._replace(
        name="mostly short, evacuated in a burst",
        answers="a third of the engines is evacuated while more comes",
        evacuated_at=3.0,
        surges=(shapes.Surge(4, 4, 1.7),),
    ),
    _MOSTLY_SHORT_LOAD._replace(
        name="mostly short, swings",
        answers="load that swings between long prompts and long answers",
        surges=(
            shapes.Surge(2, 4, 1.5, "report"),
            shapes.Surge(6, 4, 3.0, "tag"),
            shapes.Surge(10, 4, 1.5, "report"),
        ),
    ),
    _MOSTLY_SHORT_LOAD._replace(
        name="mostly short, 380 entries",
        answers="the same before 380 entries, whose reports are older",
        entries=380,
        report_lag_s=0.5,
    ),
    _MOSTLY_SHORT_LOAD._replace(
        name="mostly short, little memory",
        answers="the same with half of the memory",
        memory_tokens=10_900,
    ),
    _BURSTS_LOAD,
    _BURSTS_LOAD._replace(
        name="large customers",
        answers="the same, where two of eight customers send most of it",
        customer_shares=(0.34, 0.24, 0.07, 0.07, 0.07, 0.07, 0.07, 0.07),
        surges=(
            shapes.Surge(3, 6, 2.35, "long", customer=0),
            shapes.Surge(13, 3.5, 1.7, "short", customer=1),
        ),
    ),
    _BURSTS_LOAD._replace(
        name="peaks apart",
        answers="the same customer, whose data centres peak one by one",
        surges=(),
        wave=shapes.Wave(0.6, is_apart=True),
    ),
    # With all of the customer's memory there are about five preemptions in a
    # replay, too few to compare.
    _WAVE_LOAD._replace(
        name="room short",
        answers="one wave over all data centres, on engines of little memory",
        memory_tokens=16_000,
    ),
    _WAVE_LOAD._replace(
        name="uneven speeds",
        answers="the wave on engines of three speeds, with slow phases",
        speeds=(0.7, 0.7, 1.7),
        slow_phases=shapes.SlowPhases(0.15, 2.5),
    ),
    _WAVE_LOAD._replace(
        name="slow when nearly full",
        answers="the same, where a third of the engines slows down when full",
        nearly_full=shapes.NearlyFull(every=3),
    ),
    _WAVE_LOAD._replace(
        name="half slow, then swapped",
        answers="the same, where a slow half turns fast as the other slows",
        speeds=(0.7, 1.6),
        swapped_at=12.5,
    ),
    shapes.Load(
        "impatient",
        "a quarter of the callers leave after half of the objective",
        _KINDS,
        impatient_share=0.25,
    ),
)

LOADS: typing.Final = {load.name: load for load in _ALL}
"""The loads by name."""
