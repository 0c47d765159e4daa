#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/routed_server_rig.h"

namespace kingcupshed::http {

namespace {

using support::RoutedServerRig;
using support::ScriptedResponse;

constexpr Duration kRouteTimeout = std::chrono::seconds(8);
constexpr std::string_view kPiece = "0123456789";

std::string MakeSlowRequest(std::string_view method, std::string_view path) {
  return std::string(method) + " " + std::string(path) +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
         "Deadline-Ms: 8000\r\nConnection: close\r\n"
         "Content-Length: 0\r\n\r\n";
}

/// Returns a response whose head is sent at once and whose body is sent in
/// pieces.
ScriptedResponse MakeSlowResponse(std::size_t pieces, Duration interval) {
  ScriptedResponse response;
  response.bytes =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
      "Content-Length: " +
      std::to_string(pieces * kPiece.size()) + "\r\n\r\n";
  response.pieces.assign(pieces, std::string(kPiece));
  response.piece_interval = interval;
  return response;
}

bool IsWhole(const std::string& response, std::size_t pieces) {
  const std::size_t end_of_head = response.find("\r\n\r\n");
  return response.starts_with("HTTP/1.1 200") &&
         end_of_head != std::string::npos &&
         response.size() - end_of_head - 4 == pieces * kPiece.size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SlowResponseTest)

// Guards against a VM that breaks off a response whose body takes longer than
// some limit of the VM's own, though its target is at work on it: a body that
// keeps coming, and one that pauses, of at-most-once and of idempotent work,
// also during a planned stop.
BOOST_AUTO_TEST_CASE(BodyMayTakeAsLongAsTheCallHasTime) {
  constexpr std::size_t kManyPieces = 36;
  constexpr Duration kShortInterval = std::chrono::milliseconds(100);
  constexpr Duration kPause = std::chrono::milliseconds(3500);
  RoutedServerRig rig(1);
  rig.SetRouteTimeout(kRouteTimeout);
  rig.AddScriptedResponse(MakeSlowResponse(kManyPieces, kShortInterval));
  rig.AddScriptedResponse(MakeSlowResponse(1, kPause));
  rig.AddScriptedResponse(MakeSlowResponse(kManyPieces, kShortInterval));
  const auto start = [&](std::string_view method, std::string_view path) {
    const std::size_t reached = rig.requests().size() + 1;
    auto response = rig.StartExchange(MakeSlowRequest(method, path));
    rig.RunUntil([&] { return rig.requests().size() >= reached; });
    return response;
  };
  const auto steady_write = start("POST", "/write/x");
  const auto paused_write = start("POST", "/write/x");
  const auto steady_read = start("GET", "/read/x");
  rig.server().BeginStop();
  rig.server().StopAccepting();
  rig.RunUntil([&] {
    return steady_write->second && paused_write->second && steady_read->second;
  });
  BOOST_TEST(IsWhole(steady_write->first, kManyPieces), steady_write->first);
  BOOST_TEST(IsWhole(paused_write->first, 1), paused_write->first);
  BOOST_TEST(IsWhole(steady_read->first, kManyPieces), steady_read->first);
  BOOST_TEST(rig.aborted_requests() == 0U);
}

// Guards against a VM that takes a call for lost, and breaks it off, while the
// target's response arrives: a target that has finished its work doesn't count
// the call any more.
BOOST_AUTO_TEST_CASE(CallWhoseResponseArrivesIsNotTakenForLost) {
  constexpr std::size_t kPieces = 20;
  RoutedServerRig rig(1);
  rig.SetRouteTimeout(kRouteTimeout);
  ScriptedResponse response =
      MakeSlowResponse(kPieces, std::chrono::milliseconds(100));
  response.counted_in_load = false;
  for (const char* method : {"POST", "GET"}) {
    rig.AddScriptedResponse(response);
    const std::string path =
        std::string(method) == "GET" ? "/read/x" : "/write/x";
    const std::string received = rig.Exchange(MakeSlowRequest(method, path));
    BOOST_TEST(IsWhole(received, kPieces), received);
  }
  BOOST_TEST(rig.requests().size() == 2U);
  BOOST_TEST(rig.aborted_requests() == 0U);
}

// Guards against a VM that holds a caller without an end when the target of a
// long response of known length hangs in its body, or sends a byte now and
// then.
BOOST_AUTO_TEST_CASE(LongResponseEndsWithTheTimeOfTheCall) {
  constexpr Duration kTimeout = std::chrono::milliseconds(700);
  constexpr Duration kMaxDelay = std::chrono::milliseconds(500);
  constexpr std::size_t kLongBodyBytes = 400UL * 1024;
  constexpr std::size_t kPieces = 200;
  for (const Duration interval : {Duration(std::chrono::seconds(60)),
                                  Duration(std::chrono::milliseconds(50))}) {
    RoutedServerRig rig(1);
    rig.SetRouteTimeout(kTimeout);
    ScriptedResponse response;
    response.bytes =
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
        "Content-Length: " +
        std::to_string(kLongBodyBytes + kPieces) + "\r\n\r\n" +
        std::string(kLongBodyBytes, 'x');
    response.pieces.assign(kPieces, "x");
    response.piece_interval = interval;
    rig.AddScriptedResponse(response);
    const auto exchange = rig.StartExchange(MakeSlowRequest("GET", "/read/x"));
    rig.RunFor(kTimeout + kMaxDelay);
    BOOST_TEST(exchange->second);
    BOOST_TEST(exchange->first.size() > kLongBodyBytes);
  }
}

// Guards against a VM that breaks off a long response because its target
// pauses, though no other target can send the rest: it looks for one, and waits
// on.
BOOST_AUTO_TEST_CASE(PauseOfTheOnlyTargetBreaksOffNoLongResponse) {
  constexpr Duration kPause = std::chrono::milliseconds(3600);
  constexpr std::size_t kLongBodyBytes = 400UL * 1024;
  RoutedServerRig rig(1);
  rig.SetRouteTimeout(kRouteTimeout);
  ScriptedResponse response;
  response.bytes =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
      "ETag: \"one\"\r\nContent-Length: " +
      std::to_string(kLongBodyBytes + 3) + "\r\n\r\n" +
      std::string(kLongBodyBytes, 'x');
  response.pieces = {"end"};
  response.piece_interval = kPause;
  rig.AddScriptedResponse(response);
  // The request for the rest is refused.
  rig.AddScriptedResponse(
      {"HTTP/1.1 503 Refused\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
       "Content-Length: 0\r\n\r\n"});
  const std::string received = rig.Exchange(
      "GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 8000\r\nConnection: close\r\n\r\n");
  BOOST_TEST(received.size() > kLongBodyBytes);
  BOOST_TEST(received.ends_with("xend"));
  BOOST_TEST(rig.requests().size() >= 2U);
}

// Guards against the use of a closed connection when the caller leaves while
// the rest of its response is fetched from another target.
BOOST_AUTO_TEST_CASE(CallerMayLeaveWhileTheRestOfItsResponseIsFetched) {
  constexpr std::size_t kLongBodyBytes = 400UL * 1024;
  RoutedServerRig rig(2);
  rig.SetRouteTimeout(kRouteTimeout);
  ScriptedResponse broken;
  broken.bytes =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
      "ETag: \"one\"\r\nContent-Length: " +
      std::to_string(2 * kLongBodyBytes) + "\r\n\r\n" +
      std::string(kLongBodyBytes, 'x');
  broken.close = true;
  rig.AddScriptedResponse(broken);
  rig.AddScriptedResponse(
      {.bytes = RoutedServerRig::MakeResponse("late"), .hold_response = true});
  rig.SendAndDisconnect(
      "GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 8000\r\n\r\n",
      2);
  rig.RunUntil([&] { return rig.aborted_requests() == 1U; });
  BOOST_TEST(rig.Exchange(RoutedServerRig::MakeRequest("GET", "/read/x", "r2"))
                 .ends_with("fine"));
}

// A body that stops coming delays an idempotent call no longer than a head that
// doesn't come: another target serves it, and the first one isn't cut off
// before that.
BOOST_AUTO_TEST_CASE(StalledBodyOfIdempotentWorkIsReplacedByAnotherTarget) {
  constexpr Duration kStall = std::chrono::seconds(60);
  constexpr Duration kMaxTime = std::chrono::seconds(1);
  RoutedServerRig rig(2);
  rig.SetRouteTimeout(kRouteTimeout);
  rig.AddScriptedResponse(MakeSlowResponse(1, kStall));
  const TimePoint start = std::chrono::steady_clock::now();
  const std::string response = rig.Exchange(MakeSlowRequest("GET", "/read/x"));
  BOOST_TEST(response.ends_with("\r\n\r\nfine"), response);
  BOOST_TEST((std::chrono::steady_clock::now() - start < kMaxTime));
}

// The line distinguishes a limit of the VM from a target that broke off.
BOOST_AUTO_TEST_CASE(LogSaysHowFarALostExchangeCame) {
  RoutedServerRig rig(1);
  const std::string whole = RoutedServerRig::MakeResponse(kPiece);
  rig.AddScriptedResponse({whole.substr(0, whole.size() - 4), true});
  (void)rig.Exchange(
      RoutedServerRig::MakeRequest("POST", "/write/x", "r1", "payload"));
  std::string detail;
  for (const timeline::Event& event : rig.recorder().events()) {
    detail = event.kind == "attempt_lost" ? event.detail : detail;
  }
  BOOST_TEST(detail.starts_with("reading body: partial message; taken_ms="),
             detail);
  BOOST_TEST(detail.ends_with(" body_bytes=6"), detail);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
