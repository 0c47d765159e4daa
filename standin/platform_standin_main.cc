#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "standin/http_service.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using standin::Request;
using standin::Response;

constexpr std::chrono::milliseconds kPollInterval{5};

struct Record {
  std::string id;
  std::string payload;
};

/// The platform: streams of records, and the two lists.
class Platform {
 public:
  Platform(asio::io_context& io, json::value targets, json::value vms)
      : io_(io), targets_(std::move(targets)), vms_(std::move(vms)) {}

  asio::awaitable<Response> Handle(Request request) {
    if (request.path == "/targets") {
      co_return Response{200, {}, json::serialize(targets_), false};
    }
    if (request.path == "/vms") {
      co_return Response{200, {}, json::serialize(vms_), false};
    }
    constexpr std::string_view kLogPrefix = "/log/";
    if (request.path.rfind(kLogPrefix, 0) != 0) {
      co_return Response{404, {}, "", false};
    }
    const std::string stream = request.path.substr(kLogPrefix.size());
    if (request.method == "POST") {
      co_return Append(stream, request.body);
    }
    co_return co_await Read(stream, request);
  }

 private:
  Response Append(const std::string& stream, const std::string& body) {
    std::vector<Record>& records = streams_[stream];
    const std::size_t first = records.size();
    const json::value root = json::parse(body);
    for (const json::value& value : root.at("records").as_array()) {
      records.push_back({std::string(value.at("id").as_string()),
                         std::string(value.at("payload").as_string())});
    }
    return {200, {}, json::serialize(json::object{{"first", first}}), false};
  }

  asio::awaitable<Response> Read(std::string stream, Request request) {
    const std::size_t from = std::stoul(request.query["from"]);
    const auto deadline =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::stoul(request.query["wait_ms"]));
    while (streams_[stream].size() <= from &&
           std::chrono::steady_clock::now() < deadline) {
      asio::steady_timer timer(io_, kPollInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
    const std::vector<Record>& records = streams_[stream];
    json::array list;
    for (std::size_t i = from; i < records.size(); ++i) {
      list.push_back(json::object{{"offset", i},
                                  {"id", records[i].id},
                                  {"payload", records[i].payload}});
    }
    co_return Response{
        200,
        {},
        json::serialize(json::object{{"first", 0},
                                     {"end", records.size()},
                                     {"records", std::move(list)}}),
        false};
  }

  asio::io_context& io_;
  json::value targets_;
  json::value vms_;
  std::map<std::string, std::vector<Record>> streams_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: platform_standin ADDRESS DEPLOYMENT.json\n";
    return 2;
  }
  std::ifstream file(argv[2]);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const json::value deployment = json::parse(text);
  asio::io_context io(1);
  Platform platform(io, deployment.at("targets"), deployment.at("vms"));
  standin::Serve(io, argv[1], [&](const Request& request) {
    return platform.Handle(request);
  });
  io.run();
  return 0;
}
