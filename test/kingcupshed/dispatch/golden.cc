// Whole sessions of a dispatcher as readable text, in test/golden.
#include "support/golden.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/dispatch/dispatcher.h"

namespace kingcupshed::support {

namespace {

using dispatch::AttemptResult;
using Fields = std::map<std::string, std::string>;

constexpr TimePoint kStart{std::chrono::seconds(1)};
constexpr std::array<const char*, 5> kResults{"answered", "refused", "not-sent",
                                              "lost", "cancelled"};
constexpr std::array<const char*, 7> kReasons{
    "unknown-service", "rate-limited",       "queue-full",     "deadline",
    "no-target",       "refused-by-targets", "outcome-unknown"};

Duration Milliseconds(const std::string& text) {
  return std::chrono::milliseconds(std::stol(text));
}

std::string Value(const Fields& fields,
                  const std::string& name,
                  const std::string& otherwise) {
  const auto found = fields.find(name);
  return found == fields.end() ? otherwise : found->second;
}

/// Splits the rest of a line into plain words and `name=value` fields.
std::vector<std::string> Split(std::istringstream& line, Fields& fields) {
  std::vector<std::string> words;
  for (std::string word; line >> word;) {
    const std::size_t at = word.find('=');
    if (at == std::string::npos) {
      words.push_back(word);
    } else {
      fields[word.substr(0, at)] = word.substr(at + 1);
    }
  }
  return words;
}

class Session {
 public:
  Session() : dispatcher_(MakeConfig()) {}

  std::string Play(const std::string& text) {
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("->", 0) != 0) {
        PlayLine(line);
      }
    }
    return out_.str();
  }

 private:
  static dispatch::Config MakeConfig() {
    dispatch::Config config;
    config.max_vms = 1;
    return config;
  }

  void PlayLine(const std::string& line) {
    std::istringstream stream(line);
    std::string first;
    stream >> first;
    Fields fields;
    if (first.empty() || first == "#") {
      out_ << line << "\n";
    } else if (first == "targets") {
      out_ << line << "\n";
      SetTargets(Split(stream, fields).at(0), fields);
    } else if (first == "row") {
      out_ << line << "\n";
      Split(stream, fields);
      AddRow(fields);
    } else {
      const TimePoint at = kStart + Milliseconds(first);
      RunUntil(at);
      out_ << line << "\n";
      const auto words = Split(stream, fields);
      PlayEvent(words, fields, at);
    }
  }

  void SetTargets(const std::string& count, const Fields& fields) {
    std::vector<target::TargetInfo> targets(std::stoul(count));
    for (std::size_t at = 0; at < targets.size(); ++at) {
      targets[at].id = TargetId{static_cast<std::uint32_t>(at)};
      targets[at].service = services_.Intern("service");
      targets[at].slots =
          static_cast<std::uint32_t>(std::stoul(Value(fields, "slots", "1")));
    }
    dispatcher_.SetTargets(std::move(targets));
  }

  void AddRow(const Fields& fields) {
    table::Row row;
    row.service = "service";
    row.rank = static_cast<Rank>(std::stoi(Value(fields, "rank", "1")));
    row.weight = std::stod(Value(fields, "weight", "1"));
    row.concurrency_limit = 100;
    row.queue_limit =
        static_cast<std::uint32_t>(std::stoul(Value(fields, "queue", "10")));
    row.rate_limit = std::stod(Value(fields, "rate", "1000"));
    row.retry_share = std::stod(Value(fields, "retries", "0"));
    row.hedge_share = std::stod(Value(fields, "hedges", "0"));
    if (Value(fields, "work", "idempotent") != "idempotent") {
      row.semantics = table::Semantics::kAtMostOnce;
    }
    table_.rows.push_back(row);
    dispatcher_.SetTable(table_, services_);
  }

  void PlayEvent(const std::vector<std::string>& words,
                 const Fields& fields,
                 TimePoint at) {
    const std::string& kind = words.at(0);
    if (kind == "arrive") {
      Send(MakeCall(words.at(1), fields, at), at);
    } else if (kind == "answered") {
      const auto [call, attempt] = ParseAttempt(words.at(1));
      Send(dispatch::ResponseStarted{call, attempt, ParseLoad(fields)}, at);
    } else if (kind == "ended") {
      const auto [call, attempt] = ParseAttempt(words.at(1));
      Send(dispatch::AttemptEnded{call, attempt, ParseResult(words.at(2)),
                                  ParseLoad(fields)},
           at);
    } else if (kind == "abandon") {
      Send(dispatch::CallAbandoned{CallId{std::stoul(words.at(1))}}, at);
    } else if (kind == "leaving" || kind == "back") {
      const auto id = static_cast<std::uint32_t>(std::stoul(words.at(1)));
      dispatcher_.SetLeaving(TargetId{id}, kind == "leaving", at);
    } else {
      BOOST_TEST((kind == "wait"), "unknown event " << kind);
    }
  }

  dispatch::CallArrived MakeCall(const std::string& id,
                                 const Fields& fields,
                                 TimePoint at) {
    dispatch::CallArrived call;
    call.call = CallId{std::stoul(id)};
    call.service = services_.Intern("service");
    call.rank = static_cast<Rank>(std::stoi(Value(fields, "rank", "1")));
    call.deadline = at + Milliseconds(Value(fields, "deadline", "1000"));
    call.replayable = true;
    for (const table::Row& row : table_.rows) {
      if (row.rank == call.rank) {
        call.semantics = row.semantics;
      }
    }
    return call;
  }

  static std::pair<CallId, AttemptId> ParseAttempt(const std::string& text) {
    const std::size_t dot = text.find('.');
    return {CallId{std::stoul(text)}, AttemptId{static_cast<std::uint32_t>(
                                          std::stoul(text.substr(dot + 1)))}};
  }

  static AttemptResult ParseResult(const std::string& text) {
    for (std::size_t at = 0; at < kResults.size(); ++at) {
      if (text == kResults[at]) {
        return static_cast<AttemptResult>(at);
      }
    }
    BOOST_TEST(false, "unknown result " << text);
    return AttemptResult::kLost;
  }

  static LoadReport ParseLoad(const Fields& fields) {
    const auto read = [&fields](const char* name) {
      return static_cast<std::uint32_t>(std::stoul(Value(fields, name, "0")));
    };
    return {read("in_flight"), read("queued"), 0};
  }

  void RunUntil(TimePoint end) {
    for (auto wake = dispatcher_.NextWake(); wake && *wake < end;
         wake = dispatcher_.NextWake()) {
      now_ = std::max(now_, *wake);
      Send(dispatch::Tick{}, now_);
    }
  }

  void Send(const dispatch::Event& event, TimePoint at) {
    now_ = at;
    for (const auto& action : dispatcher_.Handle(event, at)) {
      out_ << "-> " << ToMilliseconds(at - kStart) << " ";
      std::visit([this](const auto& typed) { Print(typed); }, action);
    }
  }

  void Print(const dispatch::StartAttempt& start) {
    out_ << (start.hedge ? "hedge " : "start ") << ToIndex(start.call) << "."
         << ToIndex(start.attempt) << " at target " << ToIndex(start.target)
         << "\n";
  }
  void Print(const dispatch::CancelAttempt& cancel) {
    out_ << "cancel " << ToIndex(cancel.call) << "." << ToIndex(cancel.attempt)
         << "\n";
  }
  void Print(const dispatch::RefuseCall& refuse) {
    out_ << "refuse " << ToIndex(refuse.call) << " "
         << kReasons[static_cast<std::size_t>(refuse.reason)]
         << ", try again after " << ToMilliseconds(refuse.retry_after)
         << " ms\n";
  }
  void Print(const dispatch::ProbeTarget& probe) {
    out_ << "probe target " << ToIndex(probe.target) << "\n";
  }

  dispatch::Dispatcher dispatcher_;
  Names<ServiceId> services_;
  table::Table table_;
  TimePoint now_ = kStart;
  std::ostringstream out_;
};

std::string PathBelowRoot(const std::string& path) {
  const char* root = std::getenv("KINGCUPSHED_ROOT");
  return std::string(root == nullptr ? "." : root) + "/" + path;
}

}  // namespace

std::string ReplaySession(const std::string& session) {
  return Session().Play(session);
}

std::string ReadRepositoryFile(const std::string& path) {
  std::ifstream file(PathBelowRoot(path));
  return {std::istreambuf_iterator<char>(file), {}};
}

BOOST_AUTO_TEST_SUITE(GoldenTest)

BOOST_DATA_TEST_CASE(SessionTakesTheSameActions,
                     boost::unit_test::data::make({"normal_day", "flood",
                                                   "drain", "outage",
                                                   "shutdown"}),
                     name) {
  const std::string path = "test/golden/" + std::string(name) + ".txt";
  const std::string expected = ReadRepositoryFile(path);
  BOOST_REQUIRE(!expected.empty());
  const std::string played = ReplaySession(expected);
  if (std::getenv("KINGCUPSHED_WRITE_GOLDEN") != nullptr) {
    std::ofstream(PathBelowRoot(path)) << played;
  }
  BOOST_TEST(played == expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::support
