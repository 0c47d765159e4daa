#include "kingcupshed/timeline/render.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace kingcupshed::timeline {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kMillisPerSecond = 1000;

constexpr std::string_view kPageHead = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>kingcupshed timeline</title>
<style>
body{font:14px system-ui,sans-serif;margin:16px;color:#1d2733;background:#fff}
h1{font-size:18px;margin:0 0 8px}
#bar{display:flex;gap:8px;flex-wrap:wrap;margin-bottom:8px}
#legend span{margin-right:14px;white-space:nowrap}
#legend i{display:inline-block;width:10px;height:10px;margin-right:4px;border-radius:5px}
svg{width:100%;border:1px solid #ccd5de;background:#fafcfd;cursor:crosshair}
table{border-collapse:collapse;width:100%;margin-top:10px}
td,th{text-align:left;padding:2px 8px;border-bottom:1px solid #e3e9ee;font-size:13px}
tr.selected{background:#fff3c4}
.lane{font-size:12px;fill:#1d2733}.axis{font-size:11px;fill:#5a6977}
</style></head><body><h1>Timeline</h1>
<div id="bar"><input id="find" placeholder="part of a call, target, kind ..." size="40">
<button id="all">full range</button><span id="count"></span></div>
<div id="legend"></div><svg id="chart"></svg>
<table><thead><tr><th>time</th><th>process</th><th>part</th><th>kind</th>
<th>call</th><th>target</th><th>service</th><th>detail</th></tr></thead>
<tbody id="rows"></tbody></table>
<script id="data" type="application/json">)html";

constexpr std::string_view kPageTail = R"html(</script><script>
const events = JSON.parse(document.getElementById('data').textContent).events;
const wallMs = e => Math.floor(e.time / 65536);
const processes = [...new Set(events.map(e => e.process))].sort();
const kinds = [...new Set(events.map(e => e.kind))].sort();
const color = k => `hsl(${Math.round(kinds.indexOf(k) * 360 / kinds.length)} 65% 42%)`;
const first = events.length ? wallMs(events[0]) : 0;
const last = events.length ? wallMs(events[events.length - 1]) : 1;
// Bounds of the visible range, the selected event and the start of a drag.
let from = first, to = Math.max(last, first + 1), selected = null, dragStart = null;
const chart = document.getElementById('chart'), find = document.getElementById('find');
const labelWidth = 130, laneHeight = 34, maxRows = 400;
const makeSvg = (name, attributes, text) => {
  const node = document.createElementNS('http://www.w3.org/2000/svg', name);
  for (const key in attributes) node.setAttribute(key, attributes[key]);
  if (text !== undefined) node.textContent = text;
  return node;
};
const timeText = ms => new Date(ms).toISOString().substring(11, 23);
const visibleEvents = () => events.filter(e => wallMs(e) >= from && wallMs(e) <= to &&
  (!find.value || JSON.stringify(e).includes(find.value)));
function draw() {
  const width = chart.clientWidth || 1000, height = 30 + processes.length * laneHeight;
  const x = ms => labelWidth + (ms - from) / Math.max(1, to - from) * (width - labelWidth - 20);
  chart.setAttribute('viewBox', `0 0 ${width} ${height}`);
  chart.style.height = height + 'px';
  chart.replaceChildren();
  for (let i = 0; i <= 8; ++i) {
    const ms = from + (to - from) * i / 8;
    chart.append(makeSvg('line', {x1: x(ms), x2: x(ms), y1: 18, y2: height, stroke: '#e3e9ee'}));
    chart.append(makeSvg('text', {x: x(ms) - 30, y: 13, class: 'axis'}, timeText(ms)));
  }
  processes.forEach((process, i) => {
    const y = 30 + i * laneHeight + laneHeight / 2;
    chart.append(makeSvg('line', {x1: labelWidth, x2: width, y1: y, y2: y, stroke: '#ccd5de'}));
    chart.append(makeSvg('text', {x: 6, y: y + 4, class: 'lane'}, process));
  });
  const list = visibleEvents();
  for (const event of list) {
    const y = 30 + processes.indexOf(event.process) * laneHeight + laneHeight / 2 +
      (kinds.indexOf(event.kind) % 5 - 2) * 5;
    const mark = makeSvg('circle', {cx: x(wallMs(event)), cy: y, r: event === selected ? 7 : 4,
      fill: color(event.kind), 'fill-opacity': 0.8});
    mark.append(makeSvg('title', {}, [timeText(wallMs(event)), event.process, event.kind,
      event.call, event.target, event.detail].filter(Boolean).join('  ')));
    mark.addEventListener('click', () => { selected = event; draw(); });
    chart.append(mark);
  }
  document.getElementById('count').textContent = `${list.length} of ${events.length} events`;
  const firstRow = selected ? Math.max(0, list.indexOf(selected) - maxRows / 2) : 0;
  document.getElementById('rows').replaceChildren(...list.slice(firstRow, firstRow + maxRows).map(e => {
    const row = document.createElement('tr');
    if (e === selected) row.className = 'selected';
    for (const text of [timeText(wallMs(e)), e.process, e.part, e.kind, e.call, e.target,
                        e.service, e.detail]) {
      row.insertCell().textContent = text || '';
    }
    row.addEventListener('click', () => { selected = e; draw(); });
    return row;
  }));
}
const timeAt = event => from + (event.offsetX - labelWidth) /
  Math.max(1, chart.clientWidth - labelWidth - 20) * (to - from);
chart.addEventListener('mousedown', e => { dragStart = timeAt(e); });
chart.addEventListener('mouseup', e => {
  const end = timeAt(e);
  if (dragStart !== null && Math.abs(end - dragStart) > (to - from) / 100) {
    [from, to] = [Math.min(dragStart, end), Math.max(dragStart, end)];
    draw();
  }
  dragStart = null;
});
document.getElementById('all').addEventListener('click', () => {
  from = first; to = Math.max(last, first + 1); selected = null; find.value = ''; draw();
});
find.addEventListener('input', draw);
window.addEventListener('resize', draw);
for (const kind of kinds) {
  const entry = document.createElement('span'), dot = document.createElement('i');
  dot.style.background = color(kind);
  entry.append(dot, kind);
  document.getElementById('legend').append(entry);
}
draw();
</script></body></html>
)html";

/// Formats the wall-clock part of a timestamp as ISO 8601 in UTC.
std::string FormatWallTime(HybridTime time) {
  const std::uint64_t millis = WallMilliseconds(time);
  const auto seconds = static_cast<std::time_t>(millis / kMillisPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  const std::size_t size =
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03uZ",
                static_cast<unsigned>(millis % kMillisPerSecond));
  return std::string(date.data(), size) + fraction.data();
}

/// Appends ` name=value` unless the value is empty.
void AppendField(std::string& row,
                 std::string_view name,
                 const std::string& value) {
  if (!value.empty()) {
    row += " ";
    row += name;
    row += "=";
    row += value;
  }
}

/// Escapes each `<`, so that no text can end the script element that holds it.
std::string EscapeForScript(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<') {
      escaped += "\\u003c";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

}  // namespace

std::string ToText(const Timeline& timeline) {
  std::string text;
  for (const Event& event : timeline.events) {
    text += FormatWallTime(event.time) + " " + event.process + " " +
            event.part + ": " + event.kind;
    AppendField(text, "call", event.call);
    AppendField(text, "target", event.target);
    AppendField(text, "service", event.service);
    AppendField(text, "vm", event.vm);
    if (!event.detail.empty()) {
      text += " (" + event.detail + ")";
    }
    text += "\n";
  }
  return text;
}

std::string ToJson(const Timeline& timeline) {
  json::array events;
  for (const Event& event : timeline.events) {
    events.push_back(json::parse(ToJsonLine(event)));
  }
  json::array faults;
  for (const InvalidLine& invalid : timeline.invalid_lines) {
    faults.push_back(json::object{{"source", invalid.source},
                                  {"line", invalid.line},
                                  {"cause", invalid.cause}});
  }
  return json::serialize(json::object{{"events", std::move(events)},
                                      {"faults", std::move(faults)}}) +
         "\n";
}

std::string ToHtml(const Timeline& timeline) {
  return std::string(kPageHead) + EscapeForScript(ToJson(timeline)) +
         std::string(kPageTail);
}

}  // namespace kingcupshed::timeline
