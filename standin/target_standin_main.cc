#include <fstream>
#include <iterator>
#include <list>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include "standin/target.h"

namespace {

struct Options {
  std::string deployment;
  std::string service;
  std::string target;
  std::string control;
  std::uint64_t seed = 1;
  bool fixed = false;
};

bool IsSelected(const Options& options, const standin::TargetSpec& spec) {
  return (options.service.empty() || options.service == spec.service) &&
         (options.target.empty() || options.target == spec.name);
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Stand-in for the targets of a deployment");
  app.add_option("deployment", options.deployment, "Deployment file")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--service", options.service,
                 "Serve only the targets of this service");
  app.add_option("--target", options.target, "Serve only this target");
  app.add_option("--control", options.control,
                 "IP address and port of the control endpoint");
  app.add_option("--seed", options.seed, "Seed of the random service times");
  app.add_flag("--fixed", options.fixed, "Use fixed service times");
  CLI11_PARSE(app, argc, argv);
  std::ifstream file(options.deployment);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  boost::asio::io_context io(1);
  std::list<standin::Target> targets;
  for (standin::TargetSpec& spec :
       standin::ParseTargets(boost::json::parse(text))) {
    if (!IsSelected(options, spec)) {
      continue;
    }
    spec.seed = options.seed;
    spec.exponential = !options.fixed;
    standin::ServeTarget(io, targets.emplace_back(io, std::move(spec)));
  }
  if (!options.control.empty()) {
    standin::ServeControl(io, options.control, targets);
  }
  io.run();
  return 0;
}
