#include "kingcupshed/model/outcome.h"

#include <algorithm>
#include <cstdio>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kingcupshed::model {

namespace {

namespace json = boost::json;

/// Length of the windows of which the worst are reported.
constexpr std::size_t kWindowSeconds = 2;
/// Number of worst windows that are averaged.
constexpr std::size_t kWorstWindows = 2;

constexpr int kPlotWidth = 860;
constexpr int kPlotHeight = 170;

/// Returns the quotient; one when there is nothing to divide by.
double Ratio(double part, double total) {
  return total > 0.0 ? part / total : 1.0;
}

json::object CountsToJson(const LoadCounts& counts) {
  json::object lost;
  for (std::size_t i = 0; i < kLossCauseNames.size(); ++i) {
    lost[json::string_view(kLossCauseNames[i].data(),
                           kLossCauseNames[i].size())] =
        Ratio(counts.lost[i], counts.offered_worth);
  }
  const double completed = static_cast<double>(counts.in_time + counts.late);
  return {{"offered", counts.offered},
          {"in_time", counts.in_time},
          {"late", counts.late},
          {"refused", counts.refused},
          {"failed", counts.failed},
          {"worth", Ratio(counts.earned_worth, counts.offered_worth)},
          {"waited_ms", Ratio(ToMilliseconds(counts.vm_wait), completed)},
          {"lost", std::move(lost)}};
}

/// A plotted quantity, with one value for each second.
struct Series {
  const char* name;
  const char* color;
  /// Computes the value; null for the number of calls, see `RelativeCalls`.
  double (*value)(const LoadCounts& counts);
};

constexpr std::array<Series, 4> kSeries{
    {{"worth", "#2a6fbb",
      [](const LoadCounts& c) {
        return Ratio(c.earned_worth, c.offered_worth);
      }},
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

/// Returns the calls of a second as a fraction of the busiest second's.
double RelativeCalls(const LoadOutcome& load, std::size_t second) {
  std::uint64_t max_offered = 1;
  for (const LoadCounts& counts : load.seconds) {
    max_offered = std::max(max_offered, counts.offered);
  }
  return static_cast<double>(load.seconds[second].offered) /
         static_cast<double>(max_offered);
}

/// Renders the series of a load as an SVG plot.
std::string Plot(const LoadOutcome& load) {
  std::string svg = "<svg viewBox=\"0 0 " + std::to_string(kPlotWidth) + " " +
                    std::to_string(kPlotHeight) + "\">";
  const std::size_t count = load.seconds.size();
  for (const Series& series : kSeries) {
    svg += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"";
    svg += series.color;
    svg += "\" points=\"";
    for (std::size_t second = 0; second + 1 < count; ++second) {
      const double value = series.value != nullptr
                               ? series.value(load.seconds[second])
                               : RelativeCalls(load, second);
      const double x = static_cast<double>(kPlotWidth) *
                       static_cast<double>(second) /
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

/// Formats a fraction as a percentage with one decimal.
std::string Percent(double part) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", part * 100.0);
  return text.data();
}

/// Lists the causes of lost worth, largest first, in percent of the offered
/// worth.
std::string LossSummary(const LoadCounts& counts) {
  std::vector<std::size_t> order(kLossCauseNames.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return counts.lost[a] > counts.lost[b];
  });
  std::string text;
  for (const std::size_t cause : order) {
    if (counts.lost[cause] > 0.0) {
      text += (text.empty() ? "" : ", ") + std::string(kLossCauseNames[cause]) +
              " " + Percent(Ratio(counts.lost[cause], counts.offered_worth));
    }
  }
  return text;
}

std::string Row(const Outcome& outcome,
                const std::string& load,
                const LoadCounts& counts) {
  std::array<char, 200> text{};
  std::snprintf(
      text.data(), text.size(), "%-20s %-14s %7llu %6s %6s %6s %6s  ",
      outcome.policy.c_str(), load.c_str(),
      static_cast<unsigned long long>(counts.offered),
      Percent(Ratio(counts.earned_worth, counts.offered_worth)).c_str(),
      Percent(Ratio(static_cast<double>(counts.late),
                    static_cast<double>(counts.offered)))
          .c_str(),
      Percent(Ratio(static_cast<double>(counts.refused),
                    static_cast<double>(counts.offered)))
          .c_str(),
      Percent(Ratio(static_cast<double>(counts.failed),
                    static_cast<double>(counts.offered)))
          .c_str());
  return text.data() + LossSummary(counts) + "\n";
}

/// Returns the largest cause of a late response's time beyond the normal work
/// time.
LossCause CauseOfLateness(const CallerOutcome& result) noexcept {
  if (result.requests > 1) {
    return LossCause::kRetriedTooLate;
  }
  const Duration slowdown_time =
      FromSeconds(ToSeconds(result.work_time) * (1.0 - 1.0 / result.slowdown));
  const Duration vm_time =
      result.total_time - result.queue_time - result.work_time;
  if (result.queue_time >= slowdown_time && result.queue_time >= vm_time) {
    return LossCause::kWaitedAtTarget;
  }
  return slowdown_time >= vm_time ? LossCause::kSlowTarget
                                  : LossCause::kWaitedAtVm;
}

}  // namespace

void LoadCounts::Add(const LoadCounts& other) noexcept {
  offered += other.offered;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  offered_worth += other.offered_worth;
  earned_worth += other.earned_worth;
  vm_wait += other.vm_wait;
  for (std::size_t i = 0; i < lost.size(); ++i) {
    lost[i] += other.lost[i];
  }
}

void LoadCounts::Record(const CallerOutcome& result,
                        Duration objective,
                        double worth,
                        double late_worth) noexcept {
  if (result.completed && result.total_time <= objective) {
    ++in_time;
    earned_worth += worth;
    return;
  }
  if (!result.completed) {
    ++(result.refused ? refused : failed);
    const LossCause cause =
        result.refused ? LossCause::kRefused : LossCause::kFailed;
    lost[static_cast<std::size_t>(cause)] += worth;
    return;
  }
  ++late;
  earned_worth += late_worth;
  lost[static_cast<std::size_t>(CauseOfLateness(result))] += worth - late_worth;
}

LoadCounts Outcome::Total() const {
  LoadCounts total;
  for (const LoadOutcome& load : loads) {
    total.Add(load.total);
  }
  return total;
}

double Outcome::Worth() const {
  const LoadCounts total = Total();
  return Ratio(total.earned_worth, total.offered_worth);
}

double Outcome::WorstWindows() const {
  std::vector<double> windows;
  const std::size_t seconds = loads.empty() ? 0 : loads.front().seconds.size();
  for (std::size_t start = 0; start + kWindowSeconds < seconds;
       start += kWindowSeconds) {
    LoadCounts window;
    for (const LoadOutcome& load : loads) {
      for (std::size_t second = start; second < start + kWindowSeconds;
           ++second) {
        window.Add(load.seconds[second]);
      }
    }
    windows.push_back(Ratio(window.earned_worth, window.offered_worth));
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
      json::object entry = CountsToJson(load.total);
      entry["name"] = load.name;
      json::array seconds;
      for (const LoadCounts& second : load.seconds) {
        seconds.push_back(CountsToJson(second));
      }
      entry["seconds"] = std::move(seconds);
      loads.push_back(std::move(entry));
    }
    list.push_back(
        json::object{{"policy", outcome.policy},
                     {"seed", outcome.seed},
                     {"worth", outcome.Worth()},
                     {"worst_windows", outcome.WorstWindows()},
                     {"attempts", outcome.attempts},
                     {"repeats", outcome.repeats},
                     {"unanswered_attempts", outcome.unanswered_attempts},
                     {"probes", outcome.probes},
                     {"targets", outcome.targets},
                     {"loads", std::move(loads)}});
  }
  return json::serialize(json::object{{"outcomes", std::move(list)}}) + "\n";
}

std::string ToText(const std::vector<Outcome>& outcomes) {
  // Percentages; worth is relative to the offered worth, the rest to the calls.
  std::string text =
      "policy               load             calls  worth   late refused "
      "failed  lost worth by cause, % of offered worth\n";
  for (const Outcome& outcome : outcomes) {
    for (const LoadOutcome& load : outcome.loads) {
      text += Row(outcome, load.name, load.total);
    }
    text += Row(outcome, "all", outcome.Total());
    text += "  worst windows " + Percent(outcome.WorstWindows()) +
            ", attempts " + std::to_string(outcome.attempts) + ", repeats " +
            std::to_string(outcome.repeats) + ", unanswered " +
            std::to_string(outcome.unanswered_attempts) + ", probes " +
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
      ToText(outcomes) +
      "</pre><p>By the second of each caller's first request:";
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
