#include "kingcupshed/log/log.h"

#include <array>
#include <iostream>
#include <utility>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace kingcupshed::log {

namespace {

namespace expressions = boost::log::expressions;

constexpr std::array<std::pair<std::string_view, Severity>, 4> kSeverityNames{{
    {"debug", Severity::kDebug},
    {"info", Severity::kInfo},
    {"warning", Severity::kWarning},
    {"error", Severity::kError},
}};

std::string_view NameOf(Severity severity) noexcept {
  for (const auto& [name, value] : kSeverityNames) {
    if (value == severity) {
      return name;
    }
  }
  return "unknown";
}

}  // namespace

/// Prints the name of a severity. Boost.Log finds it by argument-dependent
/// lookup.
static std::ostream& operator<<(std::ostream& stream, Severity severity) {
  return stream << NameOf(severity);
}

namespace {

using Logger = boost::log::sources::severity_logger_mt<Severity>;

Logger& SharedLogger() {
  static Logger logger;
  return logger;
}

}  // namespace

void Initialize(Severity min_severity) {
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::clog,
      boost::log::keywords::format =
          (expressions::stream
           << expressions::format_date_time<boost::posix_time::ptime>(
                  "TimeStamp", "%Y-%m-%d %H:%M:%S.%f")
           << " " << expressions::attr<Severity>("Severity") << " "
           << expressions::smessage),
      boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(expressions::attr<Severity>("Severity") >=
                                      min_severity);
}

std::optional<Severity> ParseSeverity(std::string_view name) noexcept {
  for (const auto& [known_name, severity] : kSeverityNames) {
    if (known_name == name) {
      return severity;
    }
  }
  return std::nullopt;
}

void Write(Severity severity,
           std::string_view component,
           std::string_view message) {
  BOOST_LOG_SEV(SharedLogger(), severity) << component << ": " << message;
}

}  // namespace kingcupshed::log
