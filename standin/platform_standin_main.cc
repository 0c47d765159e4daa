#include <chrono>
#include <cstddef>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "standin/http_service.h"
#include "standin/platform.h"

namespace {

constexpr std::size_t kDefaultAppendsPerSecond = 500;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Stand-in for the platform's record store and its lists of targets and "
      "VMs");
  std::string address;
  std::string deployment_file;
  std::size_t appends_per_second = kDefaultAppendsPerSecond;
  std::size_t retention_records = 0;
  std::int64_t retention_ms = 0;
  std::int64_t list_lag_ms = 0;
  app.add_option("address", address, "IP address and port")->required();
  app.add_option("deployment", deployment_file, "Deployment file")->required();
  app.add_option("--appends-per-s", appends_per_second,
                 "Appends accepted in any second");
  app.add_option("--retention-records", retention_records,
                 "Records kept in each stream; 0 for all");
  app.add_option("--retention-ms", retention_ms,
                 "Age in ms at which a record is dropped; 0 for never");
  app.add_option("--list-lag-ms", list_lag_ms,
                 "Delay in ms until a change of state shows");
  CLI11_PARSE(app, argc, argv);

  std::ifstream file(deployment_file);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  boost::system::error_code error;
  const boost::json::value deployment = boost::json::parse(text, error);
  if (error) {
    std::cerr << deployment_file << ": the file is not valid JSON\n";
    return 2;
  }
  standin::PlatformControl control;
  control.retention = {retention_records,
                       std::chrono::milliseconds(retention_ms)};
  control.list_lag = std::chrono::milliseconds(list_lag_ms);
  boost::asio::io_context io(1);
  standin::Platform platform(io, deployment, control, appends_per_second);
  standin::Serve(io, address, [&](const standin::Request& request) {
    return platform.Handle(request);
  });
  io.run();
  return 0;
}
