#include "kingcupshed/model/outcome.h"

#include <algorithm>
#include <cstdio>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kingcupshed::model {

namespace {

namespace json = boost::json;

/// Length of the windows that are judged alone, in seconds, and how many.
constexpr std::size_t kWindow = 2;
constexpr std::size_t kWorstWindows = 2;

constexpr int kPlotWidth = 860;
constexpr int kPlotHeight = 170;

double Ratio(double part, double whole) {
  return whole > 0.0 ? part / whole : 1.0;
}

json::object CountsToJson(const LoadCounts& counts) {
  json::object lost;
  for (std::size_t at = 0; at < kLossNames.size(); ++at) {
    lost[json::string_view(kLossNames[at].data(), kLossNames[at].size())] =
        Ratio(counts.lost[at], counts.owed);
  }
  const double started = static_cast<double>(counts.in_time + counts.late);
  return {{"offered", counts.offered},
          {"in_time", counts.in_time},
          {"late", counts.late},
          {"refused", counts.refused},
          {"failed", counts.failed},
          {"worth", Ratio(counts.earned, counts.owed)},
          {"waited_ms", Ratio(ToMilliseconds(counts.waited), started)},
          {"lost", std::move(lost)}};
}

/// A quantity of a second that is plotted.
struct Series {
  const char* name;
  const char* color;
  double (*read)(const LoadCounts& counts);
};

constexpr std::array<Series, 4> kSeries{
    {{"worth", "#2a6fbb",
      [](const LoadCounts& c) { return Ratio(c.earned, c.owed); }},
     {"late", "#c77d1a",
      [](const LoadCounts& c) {
        return Ratio(static_cast<double>(c.late),
                     static_cast<double>(c.offered));
      }},
     {"refused", "#b3362c",
      [](const LoadCounts& c) {
        return Ratio(static_cast<double>(c.refused + c.failed),
                     static_cast<double>(c.offered));
      }},
     {"calls", "#9aa7b2", nullptr}}};

double CallsOf(const LoadOutcome& load, std::size_t second) {
  std::uint64_t most = 1;
  for (const LoadCounts& counts : load.seconds) {
    most = std::max(most, counts.offered);
  }
  return static_cast<double>(load.seconds[second].offered) /
         static_cast<double>(most);
}

std::string Plot(const LoadOutcome& load) {
  std::string svg = "<svg viewBox=\"0 0 " + std::to_string(kPlotWidth) + " " +
                    std::to_string(kPlotHeight) + "\">";
  const std::size_t count = load.seconds.size();
  for (const Series& series : kSeries) {
    svg += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"";
    svg += series.color;
    svg += "\" points=\"";
    for (std::size_t at = 0; at + 1 < count; ++at) {
      const double value = series.read != nullptr
                               ? series.read(load.seconds[at])
                               : CallsOf(load, at);
      const double x = static_cast<double>(kPlotWidth) *
                       static_cast<double>(at) /
                       static_cast<double>(std::max<std::size_t>(1, count - 2));
      const double y = (1.0 - std::min(1.0, value)) * (kPlotHeight - 4) + 2;
      svg += std::to_string(x) + "," + std::to_string(y) + " ";
    }
    svg += "\"><title>";
    svg += series.name;
    svg += "</title></polyline>";
  }
  return svg + "</svg>";
}

std::string Percent(double part) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", part * 100.0);
  return text.data();
}

/// The causes that cost most, in points of what is owed.
std::string CausesOf(const LoadCounts& counts) {
  std::vector<std::size_t> order(kLossNames.size());
  for (std::size_t at = 0; at < order.size(); ++at) {
    order[at] = at;
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return counts.lost[a] > counts.lost[b];
  });
  std::string text;
  for (const std::size_t at : order) {
    if (counts.lost[at] > 0.0) {
      text += (text.empty() ? "" : ", ") + std::string(kLossNames[at]) + " " +
              Percent(Ratio(counts.lost[at], counts.owed));
    }
  }
  return text;
}

std::string Row(const Outcome& outcome,
                const std::string& load,
                const LoadCounts& counts) {
  std::array<char, 200> text{};
  std::snprintf(text.data(), text.size(), "%-20s %-14s %7llu %6s %6s %6s %6s  ",
                outcome.policy.c_str(), load.c_str(),
                static_cast<unsigned long long>(counts.offered),
                Percent(Ratio(counts.earned, counts.owed)).c_str(),
                Percent(Ratio(static_cast<double>(counts.late),
                              static_cast<double>(counts.offered)))
                    .c_str(),
                Percent(Ratio(static_cast<double>(counts.refused),
                              static_cast<double>(counts.offered)))
                    .c_str(),
                Percent(Ratio(static_cast<double>(counts.failed),
                              static_cast<double>(counts.offered)))
                    .c_str());
  return text.data() + CausesOf(counts) + "\n";
}

/// Returns what took most of a late answer's time beyond the work itself.
LossCause CauseOfDelay(const Ending& ending) noexcept {
  if (ending.tries > 1) {
    return LossCause::kCameBackLate;
  }
  const Duration slowed =
      FromSeconds(ToSeconds(ending.worked) * (1.0 - 1.0 / ending.slowdown));
  const Duration here = ending.took - ending.queued - ending.worked;
  if (ending.queued >= slowed && ending.queued >= here) {
    return LossCause::kWaitedAtTarget;
  }
  return slowed >= here ? LossCause::kSlowTarget : LossCause::kWaitedHere;
}

}  // namespace

void LoadCounts::Add(const LoadCounts& other) noexcept {
  offered += other.offered;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  owed += other.owed;
  earned += other.earned;
  waited += other.waited;
  for (std::size_t at = 0; at < lost.size(); ++at) {
    lost[at] += other.lost[at];
  }
}

void LoadCounts::Count(const Ending& ending,
                       Duration objective,
                       double worth,
                       double late_worth) noexcept {
  if (ending.answered && ending.took <= objective) {
    ++in_time;
    earned += worth;
    return;
  }
  if (!ending.answered) {
    ++(ending.refused ? refused : failed);
    const LossCause cause =
        ending.refused ? LossCause::kRefused : LossCause::kFailed;
    lost[static_cast<std::size_t>(cause)] += worth;
    return;
  }
  ++late;
  earned += late_worth;
  lost[static_cast<std::size_t>(CauseOfDelay(ending))] += worth - late_worth;
}

LoadCounts Outcome::Total() const {
  LoadCounts total;
  for (const LoadOutcome& load : loads) {
    total.Add(load.whole);
  }
  return total;
}

double Outcome::Worth() const {
  const LoadCounts total = Total();
  return Ratio(total.earned, total.owed);
}

double Outcome::WorstWindows() const {
  std::vector<double> windows;
  const std::size_t seconds = loads.empty() ? 0 : loads.front().seconds.size();
  for (std::size_t at = 0; at + kWindow < seconds; at += kWindow) {
    LoadCounts window;
    for (const LoadOutcome& load : loads) {
      for (std::size_t second = at; second < at + kWindow; ++second) {
        window.Add(load.seconds[second]);
      }
    }
    windows.push_back(Ratio(window.earned, window.owed));
  }
  std::sort(windows.begin(), windows.end());
  windows.resize(std::min(windows.size(), kWorstWindows));
  double sum = 0.0;
  for (const double window : windows) {
    sum += window;
  }
  return windows.empty() ? 1.0 : sum / static_cast<double>(windows.size());
}

std::string ToJson(const std::vector<Outcome>& outcomes) {
  json::array list;
  for (const Outcome& outcome : outcomes) {
    json::array loads;
    for (const LoadOutcome& load : outcome.loads) {
      json::object entry = CountsToJson(load.whole);
      entry["name"] = load.name;
      json::array seconds;
      for (const LoadCounts& second : load.seconds) {
        seconds.push_back(CountsToJson(second));
      }
      entry["seconds"] = std::move(seconds);
      loads.push_back(std::move(entry));
    }
    list.push_back(json::object{{"policy", outcome.policy},
                                {"seed", outcome.seed},
                                {"worth", outcome.Worth()},
                                {"worst_windows", outcome.WorstWindows()},
                                {"attempts", outcome.attempts},
                                {"repeats", outcome.repeats},
                                {"probes", outcome.probes},
                                {"targets", outcome.targets},
                                {"loads", std::move(loads)}});
  }
  return json::serialize(json::object{{"outcomes", std::move(list)}}) + "\n";
}

std::string ToText(const std::vector<Outcome>& outcomes) {
  std::string text =
      "policy               load             calls  worth   late refused "
      "failed  lost by cause, in points of what is owed\n";
  for (const Outcome& outcome : outcomes) {
    for (const LoadOutcome& load : outcome.loads) {
      text += Row(outcome, load.name, load.whole);
    }
    text += Row(outcome, "all", outcome.Total());
    text += "  worst windows " + Percent(outcome.WorstWindows()) +
            ", attempts " + std::to_string(outcome.attempts) + ", repeats " +
            std::to_string(outcome.repeats) + ", probes " +
            std::to_string(outcome.probes) + "\n";
  }
  return text;
}

std::string ToHtml(const std::vector<Outcome>& outcomes) {
  std::string page =
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>Model</title><style>body{font:14px system-ui,sans-serif;"
      "margin:16px;max-width:900px}svg{width:100%;border:1px solid #ccd5de}"
      "pre{font-size:12px;overflow:auto}i{padding:0 10px}</style></head><body>"
      "<h1>Policies on one scenario</h1><pre>" +
      ToText(outcomes) + "</pre><p>By second of the first try:";
  for (const Series& series : kSeries) {
    page += "<i style=\"color:" + std::string(series.color) + "\">" +
            series.name + "</i>";
  }
  page += "</p>";
  for (const Outcome& outcome : outcomes) {
    for (const LoadOutcome& load : outcome.loads) {
      page += "<h2>" + outcome.policy + ": " + load.name + "</h2>" + Plot(load);
    }
  }
  return page + "</body></html>\n";
}

}  // namespace kingcupshed::model
