"""Renders events as SVG: one lane per entry, and lines from causes to effects."""

from pathlib import Path
from typing import NamedTuple
from xml.etree.ElementTree import Element
from xml.etree.ElementTree import indent
from xml.etree.ElementTree import SubElement
from xml.etree.ElementTree import tostring

from laburnumswitch.command.event_links import find_links
from laburnumswitch.command.events import clock_of
from laburnumswitch.command.events import details_of
from laburnumswitch.command.events import details_text
from laburnumswitch.command.events import EventDict
from laburnumswitch.command.events import kind_of
from laburnumswitch.command.events import process_of
from laburnumswitch.command.events import subject_of
from laburnumswitch.command.events import wall_s_of
from laburnumswitch.command.output import format_time
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.process.observing.event_kinds import KINDS

# Lengths are in pixels.
WIDTH = 1400
LEFT_MARGIN = 150
RIGHT_MARGIN = 30
TOP_MARGIN = 40
LANE_HEIGHT = 90
ROWS_PER_LANE = 5
ROW_HEIGHT = 13
MARK_RADIUS = 4
LEGEND_COLUMN_WIDTH = 210
LEGEND_ROW_HEIGHT = 16
TICK_COUNT = 6
MIN_SPAN_S = 0.001
DATE_LENGTH = len("2026-12-03")

HTML_HEAD = """\
<!doctype html>
<html><head><meta charset="utf-8"><title>Time line</title></head>
<body>
"""
STYLE = """
text { font: 11px sans-serif; fill: #333 }
.lane { stroke: #bbb }
.tick { stroke: #e4e4e4 }
.link { stroke: #777; stroke-width: 1; fill: none; opacity: 0.6 }
.wait { stroke-width: 6; opacity: 0.3 }
.link:hover, .wait:hover { opacity: 1 }
"""
# The golden angle in degrees gives kinds that are adjacent in sort order clearly different hues.
HUE_STEP = 137.5
LIGHTNESSES = (35, 50, 65)
HUE_AND_LIGHTNESS_BY_KIND = {
    kind: (round(HUE_STEP * number) % 360, LIGHTNESSES[number % len(LIGHTNESSES)])
    for number, kind in enumerate(sorted(KINDS))
}
UNKNOWN_COLOUR = "#000"


class _Scale(NamedTuple):
    first_s: float
    span_s: float
    row_by_kind: dict[str, int]
    lane_by_process: dict[str, int]

    def x(self, wall_s: float) -> float:
        fraction = (wall_s - self.first_s) / self.span_s
        return round(LEFT_MARGIN + fraction * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN), 1)

    def y(self, event: EventDict) -> float:
        row = self.row_by_kind[kind_of(event)] - ROWS_PER_LANE // 2
        return self.lane_y(process_of(event)) + row * ROW_HEIGHT

    def lane_y(self, process: str) -> float:
        return TOP_MARGIN + LANE_HEIGHT * (self.lane_by_process[process] + 0.5)


def write_picture(path: str, events: list[EventDict]) -> None | FileUnreadable:
    """Write the picture as SVG, or as an HTML page if ``path`` ends in ``.html``."""
    markup = tostring(draw_events(events), encoding="unicode")
    if path.endswith(".html"):
        markup = f"{HTML_HEAD}{markup}\n</body></html>"
    try:
        Path(path).write_text(f"{markup}\n", "utf-8")
    except OSError as error:
        return FileUnreadable(path, 0, 0, "", str(error))
    return None


def draw_events(events: list[EventDict]) -> Element:
    """Return the SVG element for events, which must be in causal order."""
    scale = _make_scale(events)
    kinds = sorted({kind_of(event) for event in events})
    columns = (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) // LEGEND_COLUMN_WIDTH
    bottom = TOP_MARGIN + LANE_HEIGHT * len(scale.lane_by_process) + 30
    height = bottom + LEGEND_ROW_HEIGHT * (len(kinds) // columns + 1) + 10
    size = {"width": str(WIDTH), "height": str(height), "viewBox": f"0 0 {WIDTH} {height}"}
    picture = Element("svg", {"xmlns": "http://www.w3.org/2000/svg", **size})
    SubElement(picture, "title").text = "Time line: one lane for each entry, time by its own clock"
    SubElement(picture, "style").text = STYLE
    _draw_ticks(picture, scale, bottom)
    _draw_lanes(picture, scale)
    for cause, effect in find_links(events):
        _draw_link(picture, scale, cause, effect)
    for event in events:
        _draw_duration(picture, scale, event)
    for event in events:
        _draw_mark(picture, scale, event)
    for number, kind in enumerate(kinds):
        x = LEFT_MARGIN + LEGEND_COLUMN_WIDTH * (number % columns)
        _draw_legend(picture, x, bottom + LEGEND_ROW_HEIGHT * (number // columns), kind)
    indent(picture)
    return picture


def colour_of(kind: str) -> str:
    """Return the CSS colour of an event kind; kinds of a newer version are black."""
    if kind not in HUE_AND_LIGHTNESS_BY_KIND:
        return UNKNOWN_COLOUR
    hue, lightness = HUE_AND_LIGHTNESS_BY_KIND[kind]
    return f"hsl({hue}, 75%, {lightness}%)"


def _make_scale(events: list[EventDict]) -> _Scale:
    starts = [wall_s_of(event) - _duration_s(event) for event in events] or [0.0]
    ends = [wall_s_of(event) for event in events] or [0.0]
    kinds = sorted({kind_of(event) for event in events})
    processes = sorted({process_of(event) for event in events})
    return _Scale(
        min(starts),
        max(max(ends) - min(starts), MIN_SPAN_S),
        {kind: number % ROWS_PER_LANE for number, kind in enumerate(kinds)},
        {process: number for number, process in enumerate(processes)},
    )


def _duration_s(event: EventDict) -> float:
    """Return the duration of what the event ends, 0 if it records none."""
    duration_ms = details_of(event).get("milliseconds", 0)
    return duration_ms / 1_000 if isinstance(duration_ms, int | float) else 0.0


def _draw_ticks(picture: Element, scale: _Scale, bottom: float) -> None:
    _text(picture, 10, TOP_MARGIN - 12, format_time(scale.first_s)[:DATE_LENGTH], "start")
    for number in range(TICK_COUNT + 1):
        wall_s = scale.first_s + scale.span_s * number / TICK_COUNT
        x = scale.x(wall_s)
        _line(picture, "tick", (x, TOP_MARGIN, x, bottom - 30))
        anchor = "end" if number == TICK_COUNT else "middle"
        _text(picture, x, TOP_MARGIN - 12, format_time(wall_s)[DATE_LENGTH + 1 :], anchor)


def _draw_lanes(picture: Element, scale: _Scale) -> None:
    for process in scale.lane_by_process:
        y = scale.lane_y(process)
        _line(picture, "lane", (LEFT_MARGIN, y, WIDTH - RIGHT_MARGIN, y))
        _text(picture, 10, y + 4, process, "start")


def _draw_link(picture: Element, scale: _Scale, cause: EventDict, effect: EventDict) -> None:
    x1, y1 = scale.x(wall_s_of(cause)), scale.y(cause)
    x2, y2 = scale.x(wall_s_of(effect)), scale.y(effect)
    line = _line(picture, "link", (x1, y1, x2, y2))
    seconds = wall_s_of(effect) - wall_s_of(cause)
    names = f"{kind_of(cause)} to {kind_of(effect)}"
    SubElement(line, "title").text = _printable(f"{names}: {seconds:.3f} s\n{subject_of(effect)}")


def _draw_duration(picture: Element, scale: _Scale, event: EventDict) -> None:
    duration_s = _duration_s(event)
    if not duration_s:
        return
    x, y = scale.x(wall_s_of(event)), scale.y(event)
    line = _line(picture, "wait", (scale.x(wall_s_of(event) - duration_s), y, x, y))
    line.set("stroke", colour_of(kind_of(event)))
    SubElement(line, "title").text = _printable(f"{subject_of(event)}: {duration_s:.3f} s")


def _draw_mark(picture: Element, scale: _Scale, event: EventDict) -> None:
    position = {"cx": str(scale.x(wall_s_of(event))), "cy": str(scale.y(event))}
    appearance = {"r": str(MARK_RADIUS), "fill": colour_of(kind_of(event))}
    mark = SubElement(picture, "circle", {**position, **appearance})
    heading = f"{kind_of(event)} {subject_of(event)}"
    recorded = f"{process_of(event)} {format_time(wall_s_of(event))} clock {clock_of(event)}"
    SubElement(mark, "title").text = _printable(f"{heading}\n{recorded}\n{details_text(event)}")


def _draw_legend(picture: Element, x: float, y: float, kind: str) -> None:
    appearance = {"r": str(MARK_RADIUS), "fill": colour_of(kind)}
    SubElement(picture, "circle", {"cx": str(x), "cy": str(y), **appearance})
    _text(picture, x + 10, y + 4, kind, "start")


def _line(
    picture: Element, css_class: str, endpoints: tuple[float, float, float, float]
) -> Element:
    coordinates = dict(zip(("x1", "y1", "x2", "y2"), map(str, endpoints), strict=True))
    return SubElement(picture, "line", {"class": css_class, **coordinates})


def _text(picture: Element, x: float, y: float, text: str, anchor: str) -> None:
    position = {"x": str(x), "y": str(y), "text-anchor": anchor}
    SubElement(picture, "text", position).text = _printable(text)


def _printable(text: str) -> str:
    # XML does not allow control characters.
    return "".join(
        character if character.isprintable() or character == "\n" else "?" for character in text
    )
