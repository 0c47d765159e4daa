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

bool IsWanted(const Options& options, const standin::TargetSpec& spec) {
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
  app.add_option("--service", options.service, "Run only one service");
  app.add_option("--target", options.target, "Run only one target");
  app.add_option("--control", options.control, "Control address");
  app.add_option("--seed", options.seed, "Seed of the service times");
  app.add_flag("--fixed", options.fixed, "Service times that never vary");
  CLI11_PARSE(app, argc, argv);
  std::ifstream file(options.deployment);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  boost::asio::io_context io(1);
  std::list<standin::Target> targets;
  for (standin::TargetSpec& spec :
       standin::ParseTargets(boost::json::parse(text))) {
    if (!IsWanted(options, spec)) {
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
