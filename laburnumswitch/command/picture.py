"""Draws events as an SVG: one lane for each entry, and lines from causes to effects."""

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
from laburnumswitch.command.events import Event
from laburnumswitch.command.events import kind_of
from laburnumswitch.command.events import process_of
from laburnumswitch.command.events import subject_of
from laburnumswitch.command.events import wall_s_of
from laburnumswitch.command.output import readable_time
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.process.observing.eventkinds import KINDS

# All lengths are pixels.
WIDTH = 1400
LEFT = 150
RIGHT = 30
TOP = 40
LANE = 90
ROWS_OF_LANE = 5
ROW = 13
MARK_RADIUS = 4
LEGEND_COLUMN = 210
LEGEND_ROW = 16
TICKS = 6
SHORTEST_SPAN_S = 0.001
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
# Steps by the golden angle, in degrees, keep the hues of neighbours in the alphabet far apart.
HUE_STEP = 137.5
LIGHTNESSES = (35, 50, 65)
LOOK_BY_KIND = {
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
        share = (wall_s - self.first_s) / self.span_s
        return round(LEFT + share * (WIDTH - LEFT - RIGHT), 1)

    def y(self, event: Event) -> float:
        row = self.row_by_kind[kind_of(event)] - ROWS_OF_LANE // 2
        return self.lane_y(process_of(event)) + row * ROW

    def lane_y(self, process: str) -> float:
        return TOP + LANE * (self.lane_by_process[process] + 0.5)


def write_picture(path: str, events: list[Event]) -> None | FileUnreadable:
    """Write the picture to a file whose name ends in ``.svg`` or ``.html``."""
    drawn = tostring(draw_events(events), encoding="unicode")
    if path.endswith(".html"):
        drawn = f"{HTML_HEAD}{drawn}\n</body></html>"
    try:
        Path(path).write_text(f"{drawn}\n", "utf-8")
    except OSError as error:
        return FileUnreadable(path, 0, 0, "", str(error))
    return None


def draw_events(events: list[Event]) -> Element:
    """Return the picture of events that are given causes before effects."""
    scale = _make_scale(events)
    kinds = sorted({kind_of(event) for event in events})
    columns = (WIDTH - LEFT - RIGHT) // LEGEND_COLUMN
    bottom = TOP + LANE * len(scale.lane_by_process) + 30
    height = bottom + LEGEND_ROW * (len(kinds) // columns + 1) + 10
    size = {"width": str(WIDTH), "height": str(height), "viewBox": f"0 0 {WIDTH} {height}"}
    picture = Element("svg", {"xmlns": "http://www.w3.org/2000/svg", **size})
    SubElement(picture, "title").text = "Time line: one lane for each entry, time by its own clock"
    SubElement(picture, "style").text = STYLE
    _draw_ticks(picture, scale, bottom)
    _draw_lanes(picture, scale)
    for cause, effect in find_links(events):
        _draw_link(picture, scale, cause, effect)
    for event in events:
        _draw_wait(picture, scale, event)
    for event in events:
        _draw_mark(picture, scale, event)
    for number, kind in enumerate(kinds):
        x = LEFT + LEGEND_COLUMN * (number % columns)
        _draw_legend(picture, x, bottom + LEGEND_ROW * (number // columns), kind)
    indent(picture)
    return picture


def colour_of(kind: str) -> str:
    """Return the colour of a kind, black for one of a newer version."""
    if kind not in LOOK_BY_KIND:
        return UNKNOWN_COLOUR
    hue, lightness = LOOK_BY_KIND[kind]
    return f"hsl({hue}, 75%, {lightness}%)"


def _make_scale(events: list[Event]) -> _Scale:
    starts = [wall_s_of(event) - _taken_s(event) for event in events] or [0.0]
    ends = [wall_s_of(event) for event in events] or [0.0]
    kinds = sorted({kind_of(event) for event in events})
    processes = sorted({process_of(event) for event in events})
    return _Scale(
        min(starts),
        max(max(ends) - min(starts), SHORTEST_SPAN_S),
        {kind: number % ROWS_OF_LANE for number, kind in enumerate(kinds)},
        {process: number for number, process in enumerate(processes)},
    )


def _taken_s(event: Event) -> float:
    """Return for how long something had been going on that the event ends."""
    taken = details_of(event).get("milliseconds", 0)
    return taken / 1_000 if isinstance(taken, int | float) else 0.0


def _draw_ticks(picture: Element, scale: _Scale, bottom: float) -> None:
    _text(picture, 10, TOP - 12, readable_time(scale.first_s)[:DATE_LENGTH], "start")
    for number in range(TICKS + 1):
        wall_s = scale.first_s + scale.span_s * number / TICKS
        x = scale.x(wall_s)
        _line(picture, "tick", (x, TOP, x, bottom - 30))
        anchor = "end" if number == TICKS else "middle"
        _text(picture, x, TOP - 12, readable_time(wall_s)[DATE_LENGTH + 1 :], anchor)


def _draw_lanes(picture: Element, scale: _Scale) -> None:
    for process in scale.lane_by_process:
        y = scale.lane_y(process)
        _line(picture, "lane", (LEFT, y, WIDTH - RIGHT, y))
        _text(picture, 10, y + 4, process, "start")


def _draw_link(picture: Element, scale: _Scale, cause: Event, effect: Event) -> None:
    x1, y1 = scale.x(wall_s_of(cause)), scale.y(cause)
    x2, y2 = scale.x(wall_s_of(effect)), scale.y(effect)
    line = _line(picture, "link", (x1, y1, x2, y2))
    seconds = wall_s_of(effect) - wall_s_of(cause)
    names = f"{kind_of(cause)} to {kind_of(effect)}"
    SubElement(line, "title").text = _printable(f"{names}: {seconds:.3f} s\n{subject_of(effect)}")


def _draw_wait(picture: Element, scale: _Scale, event: Event) -> None:
    taken_s = _taken_s(event)
    if not taken_s:
        return
    x, y = scale.x(wall_s_of(event)), scale.y(event)
    line = _line(picture, "wait", (scale.x(wall_s_of(event) - taken_s), y, x, y))
    line.set("stroke", colour_of(kind_of(event)))
    SubElement(line, "title").text = _printable(f"{subject_of(event)}: {taken_s:.3f} s")


def _draw_mark(picture: Element, scale: _Scale, event: Event) -> None:
    place = {"cx": str(scale.x(wall_s_of(event))), "cy": str(scale.y(event))}
    look = {"r": str(MARK_RADIUS), "fill": colour_of(kind_of(event))}
    mark = SubElement(picture, "circle", {**place, **look})
    head = f"{kind_of(event)} {subject_of(event)}"
    where = f"{process_of(event)} {readable_time(wall_s_of(event))} clock {clock_of(event)}"
    SubElement(mark, "title").text = _printable(f"{head}\n{where}\n{details_text(event)}")


def _draw_legend(picture: Element, x: float, y: float, kind: str) -> None:
    look = {"r": str(MARK_RADIUS), "fill": colour_of(kind)}
    SubElement(picture, "circle", {"cx": str(x), "cy": str(y), **look})
    _text(picture, x + 10, y + 4, kind, "start")


def _line(picture: Element, name: str, ends: tuple[float, float, float, float]) -> Element:
    coordinates = dict(zip(("x1", "y1", "x2", "y2"), map(str, ends), strict=True))
    return SubElement(picture, "line", {"class": name, **coordinates})


def _text(picture: Element, x: float, y: float, text: str, anchor: str) -> None:
    place = {"x": str(x), "y": str(y), "text-anchor": anchor}
    SubElement(picture, "text", place).text = _printable(text)


def _printable(text: str) -> str:
    # Control characters are not allowed in XML.
    return "".join(part if part.isprintable() or part == "\n" else "?" for part in text)
