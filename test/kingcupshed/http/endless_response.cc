#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "standin/endless_response.h"
#include "support/routed_server_rig.h"

namespace kingcupshed::http {

namespace {

using standin::EndlessResponse;
using support::RoutedServerRig;
using support::ScriptedResponse;

/// The timeout of the rig's route, and half a second for the response.
constexpr Duration kMaxCallTime = std::chrono::milliseconds(700 + 500);
/// Time goal of the rig's route.
constexpr Duration kObjective = std::chrono::milliseconds(200);
/// Time within which the connection to the target is closed after the call.
constexpr Duration kMaxCloseTime = std::chrono::milliseconds(100);
/// Bytes that a target may send before the VM closes the connection, those in
/// the kernel's buffers included: a sixteenth of the 64 MiB that a VM may use
/// while it forwards long bodies.
constexpr std::size_t kMaxBytesSent = 4UL * 1024 * 1024;

/// Bodies that a target could still end, so the caller gets their start.
constexpr std::array<std::string_view, 2> kOpenEnded{"endless-chunks",
                                                     "endless-body"};

bool IsOpenEnded(const EndlessResponse& response) {
  return std::find(kOpenEnded.begin(), kOpenEnded.end(), response.fault) !=
         kOpenEnded.end();
}

ScriptedResponse ToScript(const EndlessResponse& response) {
  constexpr std::string_view kOwn = "Request-Id: {id}\r\nResponse-Stamp: s\r\n";
  constexpr std::string_view kForeign =
      "Request-Id: other\r\nResponse-Stamp: s\r\n";
  ScriptedResponse script;
  script.bytes = standin::WithFields(response.start, kOwn, kForeign);
  script.repeated = standin::RepeatForWrite(
      standin::WithFields(response.repeated, kOwn, kForeign));
  return script;
}

std::string Get(std::string_view id = "r1") {
  return RoutedServerRig::MakeRequest("GET", "/read/x", id);
}

std::string Post(std::string_view id = "r1") {
  return RoutedServerRig::MakeRequest("POST", "/write/x", id, "payload");
}

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Checks that the VM closes the connection to the target soon after the call.
void CheckTargetConnectionCloses(RoutedServerRig& rig) {
  const TimePoint limit = Now() + kMaxCloseTime;
  rig.RunUntil([&] { return rig.endless_responses() == 0 || Now() > limit; });
  BOOST_TEST(rig.endless_responses() == 0U);
}

/// Sends a request to which the first target responds without end.
std::string ExchangeWithEndlessTarget(const EndlessResponse& response,
                                      const std::string& request) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse(ToScript(response));
  const TimePoint limit = Now() + kMaxCallTime;
  const auto exchange = rig.StartExchange(request);
  rig.RunUntil([&] { return exchange->second || Now() > limit; });
  BOOST_TEST(exchange->second);
  std::string received = exchange->first;
  CheckTargetConnectionCloses(rig);
  if (IsOpenEnded(response)) {
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!received.ends_with("0\r\n\r\n"));
  } else {
    BOOST_TEST(rig.endless_bytes() <= kMaxBytesSent);
  }
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EndlessResponseTest)

BOOST_AUTO_TEST_CASE(IdempotentCallIsServedByAnotherTarget) {
  for (const EndlessResponse& response : standin::EndlessResponses()) {
    BOOST_TEST_CONTEXT(response.fault) {
      const std::string received = ExchangeWithEndlessTarget(response, Get());
      if (!IsOpenEnded(response)) {
        BOOST_TEST(received.starts_with("HTTP/1.1 200"));
        BOOST_TEST(received.ends_with("\r\n\r\nfine"));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AtMostOnceCallEndsWithUnknownOutcome) {
  for (const EndlessResponse& response : standin::EndlessResponses()) {
    BOOST_TEST_CONTEXT(response.fault) {
      const std::string received = ExchangeWithEndlessTarget(response, Post());
      if (response.fault == "endless-surplus") {
        BOOST_TEST(received.ends_with("\r\n\r\nfine"));
      } else if (!IsOpenEnded(response)) {
        BOOST_TEST(received.starts_with("HTTP/1.1 502"));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(OtherCallsAreNotDelayed) {
  constexpr int kOtherCalls = 20;
  for (const EndlessResponse& response : standin::EndlessResponses()) {
    BOOST_TEST_CONTEXT(response.fault) {
      RoutedServerRig rig(3);
      rig.AddScriptedResponse(ToScript(response));
      const auto endless = rig.StartExchange(Post());
      rig.RunUntil([&] { return rig.requests().size() == 1U; });
      for (int call = 0; call < kOtherCalls; ++call) {
        const TimePoint start = Now();
        const std::string received =
            rig.Exchange(Get("other-" + std::to_string(call)));
        BOOST_TEST(received.ends_with("\r\n\r\nfine"));
        BOOST_TEST((Now() - start <= kObjective));
      }
      const TimePoint limit = Now() + kMaxCallTime;
      rig.RunUntil([&] { return endless->second || Now() > limit; });
      BOOST_TEST(endless->second);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
