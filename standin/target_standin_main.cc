#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "standin/http_service.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using standin::Request;
using standin::Response;

constexpr std::chrono::milliseconds kServiceTime{10};

/// One target: a number of slots and a queue in front of them.
class Target {
 public:
  Target(asio::io_context& io, std::string name, std::uint64_t slots)
      : io_(io), name_(std::move(name)), slots_(slots) {}

  asio::awaitable<Response> Handle(Request request) {
    ++queued_;
    while (in_flight_ >= slots_) {
      asio::steady_timer timer(io_, std::chrono::milliseconds(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
    --queued_;
    ++in_flight_;
    asio::steady_timer timer(io_, kServiceTime);
    co_await timer.async_wait(asio::use_awaitable);
    --in_flight_;
    Response response;
    response.headers["Kingcupshed-Load"] =
        "in_flight=" + std::to_string(in_flight_) +
        ";queued=" + std::to_string(queued_) +
        ";slots=" + std::to_string(slots_);
    response.body = name_ + " " + request.method + " " + request.path + " " +
                    request.headers["caller"] + " " + request.body + "\n";
    co_return response;
  }

 private:
  asio::io_context& io_;
  std::string name_;
  std::uint64_t slots_;
  std::uint64_t in_flight_ = 0;
  std::uint64_t queued_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: target_standin DEPLOYMENT.json\n";
    return 2;
  }
  std::ifstream file(argv[1]);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const json::value deployment = json::parse(text);
  asio::io_context io(1);
  std::vector<std::unique_ptr<Target>> targets;
  for (const json::value& entry : deployment.at("targets").as_array()) {
    targets.push_back(
        std::make_unique<Target>(io, std::string(entry.at("name").as_string()),
                                 entry.at("slots").to_number<std::uint64_t>()));
    Target* target = targets.back().get();
    standin::Serve(
        io, std::string(entry.at("address").as_string()),
        [target](const Request& request) { return target->Handle(request); });
  }
  io.run();
  return 0;
}
