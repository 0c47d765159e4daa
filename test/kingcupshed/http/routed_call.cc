#include "kingcupshed/http/routed_call.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/routed_server_rig.h"

namespace kingcupshed::http {

namespace {

using support::RoutedServerRig;
using support::ScriptedResponse;

std::string Get(std::string_view id = "r1") {
  return RoutedServerRig::MakeRequest("GET", "/read/x", id);
}

std::string Post(std::string_view id = "r1") {
  return RoutedServerRig::MakeRequest("POST", "/write/x", id, "payload");
}

std::string StatusOf(const std::string& response) {
  return response.size() < 12 ? "none" : response.substr(9, 3);
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string RefusalResponse(unsigned code) {
  return "HTTP/1.1 " + std::to_string(code) +
         " Refused\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::string ErrorResponse(unsigned code) {
  return "HTTP/1.1 " + std::to_string(code) +
         " Failed\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
         "Content-Length: 3\r\n\r\nbad";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RoutedCallTest)

BOOST_AUTO_TEST_CASE(ForwardsCallAndResponseUnchanged) {
  RoutedServerRig rig(2);
  const std::string response = rig.Exchange(Post());
  BOOST_TEST(StatusOf(response) == "200");
  BOOST_TEST(Contains(response, "Response-Stamp: s"));
  BOOST_TEST(response.ends_with("\r\n\r\nfine"));
  BOOST_REQUIRE_EQUAL(rig.requests().size(), 1U);
  const std::string& request = rig.requests().front();
  BOOST_TEST(request.starts_with("POST /write/x HTTP/1.1"));
  BOOST_TEST(Contains(request, "Request-Id: r1"));
  BOOST_TEST(Contains(request, "Expect-Instance: i-"));
  BOOST_TEST(Contains(request, "Deadline-Ms: "));
  BOOST_TEST(!Contains(request, "Kingcupshed"));
  BOOST_TEST(request.ends_with("payload"));
}

// A target that refuses with `Retry-After` wants nothing from this VM for so
// long; callers are refused with the time that is left.
BOOST_AUTO_TEST_CASE(RefusingTargetGetsNothingUntilItsRetryAfterIsOver) {
  RoutedServerRig rig(1);
  std::string refusal = RefusalResponse(503);
  refusal.insert(refusal.find("Request-Id"), "Retry-After: 0.4\r\n");
  rig.AddScriptedResponse({refusal});
  (void)rig.Exchange(Post());
  BOOST_REQUIRE_EQUAL(rig.requests().size(), 1U);
  for (int call = 0; call < 5; ++call) {
    const std::string response = rig.Exchange(Post("again"));
    BOOST_TEST(StatusOf(response) == "503");
    BOOST_TEST(Contains(response, "Retry-After: 0."));
  }
  BOOST_TEST(rig.requests().size() == 1U);
  rig.RunFor(std::chrono::milliseconds(450));
  BOOST_TEST(StatusOf(rig.Exchange(Post("later"))) == "200");
}

BOOST_AUTO_TEST_CASE(OtherTargetsServeWhileOneWantsNothing) {
  RoutedServerRig rig(2);
  std::string refusal = RefusalResponse(503);
  refusal.insert(refusal.find("Request-Id"), "Retry-After: 5\r\n");
  rig.AddScriptedResponse({refusal});
  for (int call = 0; call < 10; ++call) {
    BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
  }
  BOOST_TEST(rig.requests().size() == 11U);
}

// A target in need names the calls per second that it takes from all VMs.
BOOST_AUTO_TEST_CASE(TargetGetsNoMoreCallsThanTheLimitThatItNames) {
  RoutedServerRig rig(1);
  const auto response = [](const std::string& fields) {
    return "HTTP/1.1 200 OK\r\n" + fields +
           "Request-Id: {id}\r\nResponse-Stamp: s\r\n"
           "Content-Length: 4\r\n\r\nfine";
  };
  rig.AddScriptedResponse({response("Server-Limit: 1.5\r\n")});
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "200");
  for (int call = 0; call < 5; ++call) {
    BOOST_TEST(StatusOf(rig.Exchange(Post("again"))) == "503");
  }
  BOOST_TEST(rig.requests().size() == 1U);
  rig.AddScriptedResponse({response("")});
  rig.RunFor(std::chrono::milliseconds(800));
  for (int call = 0; call < 5; ++call) {
    BOOST_TEST(StatusOf(rig.Exchange(Post("later"))) == "200");
  }
}

// A target says that it leaves in each of its responses, also in refusals and
// failures; a response of another instance says nothing about the target.
BOOST_AUTO_TEST_CASE(AnyResponseOfATargetCanSayThatItLeaves) {
  const std::string leaving = "Server-Leaving: 1\r\n";
  const auto with_mark = [&](std::string response) {
    return response.insert(response.find("Request-Id"), leaving);
  };
  const std::string success =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
      "Content-Length: 4\r\n\r\nfine";
  for (const std::string& response :
       {success, RefusalResponse(503), ErrorResponse(500)}) {
    RoutedServerRig rig(1);
    rig.AddScriptedResponse({response});
    (void)rig.Exchange(Post());
    BOOST_TEST(rig.drain_marks().empty());
    rig.AddScriptedResponse({with_mark(response)});
    (void)rig.Exchange(Post("r2"));
    BOOST_TEST(rig.drain_marks().size() == 1U, response);
  }
  RoutedServerRig rig(1);
  rig.AddScriptedResponse({with_mark(RefusalResponse(421))});
  (void)rig.Exchange(Post());
  BOOST_TEST(rig.drain_marks().empty());
}

BOOST_AUTO_TEST_CASE(RefusesCallWithoutRoute) {
  RoutedServerRig rig(1);
  const std::string response =
      rig.Exchange(RoutedServerRig::MakeRequest("GET", "/nowhere", "r1"));
  BOOST_TEST(StatusOf(response) == "404");
  BOOST_TEST(rig.requests().empty());
}

BOOST_AUTO_TEST_CASE(RefusesCallWithoutId) {
  RoutedServerRig rig(1);
  BOOST_TEST(StatusOf(rig.Exchange(Get(""))) == "400");
  BOOST_TEST(rig.requests().empty());
}

BOOST_AUTO_TEST_CASE(RetriesAtAnotherTargetAfterRefusal) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({RefusalResponse(503)});
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "200");
  BOOST_TEST(rig.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReportsNotRunWhenAllTargetsRefuse) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({RefusalResponse(503)});
  rig.AddScriptedResponse({RefusalResponse(421)});
  const std::string response = rig.Exchange(Post());
  BOOST_TEST(StatusOf(response) == "503");
  BOOST_TEST(Contains(response, "Retry-After: 0."));
  BOOST_TEST(rig.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReportsUnknownOutcomeForWorkThatMayHaveRun) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({"", false, true});
  const std::string response = rig.Exchange(Post());
  BOOST_TEST(StatusOf(response) == "502");
  BOOST_TEST(!Contains(response, "Retry-After"));
  BOOST_TEST(rig.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RetriesIdempotentWorkAfterReset) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({"", false, true});
  BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
  BOOST_TEST(rig.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReplacesTruncatedResponse) {
  RoutedServerRig rig(3);
  const std::string complete = RoutedServerRig::MakeResponse("0123456789");
  rig.AddScriptedResponse({complete.substr(0, complete.size() - 4), true});
  const std::string response = rig.Exchange(Get());
  BOOST_TEST(StatusOf(response) == "200");
  BOOST_TEST(response.ends_with("fine"));
}

BOOST_AUTO_TEST_CASE(ForwardsResponseDelimitedByClose) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
       "\r\nuntil the end",
       true});
  const std::string response = rig.Exchange(Get());
  BOOST_TEST(response.ends_with("until the end"));
  BOOST_TEST(Contains(response, "Content-Length: 13"));
}

BOOST_AUTO_TEST_CASE(ReplacesResponseThatIsReset) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse(
      {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
       "\r\nuntil the",
       false, true});
  const std::string response = rig.Exchange(Get());
  BOOST_TEST(response.ends_with("fine"), response);
}

// A duplicate response to an earlier call can arrive before the expected one.
BOOST_AUTO_TEST_CASE(SkipsResponsesToOtherCalls) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: x\r\n"
       "Content-Length: 5\r\n\r\nwrong" +
       RoutedServerRig::MakeResponse("mine")});
  const std::string response = rig.Exchange(Post());
  BOOST_TEST(response.ends_with("mine"));
  BOOST_TEST(!Contains(response, "wrong"));
}

// A second copy of a response can also arrive on a connection that another call
// uses by then.
BOOST_AUTO_TEST_CASE(LateSecondCopyOfAResponseIsNotThatOfTheNextCall) {
  const std::string copy =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
      "Content-Length: 5\r\n\r\nfirst";
  for (const char* method : {"GET", "POST"}) {
    RoutedServerRig rig(1);
    rig.AddScriptedResponse({RoutedServerRig::MakeResponse("first")});
    rig.AddScriptedResponse({copy + RoutedServerRig::MakeResponse("second")});
    const std::string path =
        std::string(method) == "GET" ? "/read/x" : "/write/x";
    const auto request = [&](const char* id) {
      return RoutedServerRig::MakeRequest(method, path, id);
    };
    BOOST_TEST(rig.Exchange(request("r1")).ends_with("first"));
    const std::string second = rig.Exchange(request("r2"));
    BOOST_TEST(second.ends_with("second"), second);
    BOOST_TEST(!Contains(second, "first"));
  }
}

BOOST_AUTO_TEST_CASE(ReplacesInvalidResponses) {
  const std::vector<std::string> invalid_responses{
      // Without the stamp of the target.
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 3\r\n\r\nbad",
      // With a content encoding.
      RoutedServerRig::MakeResponse("bad", "Content-Encoding: gzip\r\n"),
      // Without the call id.
      "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\nbad",
      // Not an HTTP response.
      "\x01\x02 garbage \r\n\r\n",
      // With two lengths.
      RoutedServerRig::MakeResponse("bad", "Content-Length: 9\r\n")};
  for (const std::string& bytes : invalid_responses) {
    RoutedServerRig rig(3);
    rig.AddScriptedResponse({bytes});
    const std::string response = rig.Exchange(Get());
    BOOST_TEST(StatusOf(response) == "200");
    BOOST_TEST(response.ends_with("fine"));
  }
}

BOOST_AUTO_TEST_CASE(DiscardsSurplusBytes) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse({RoutedServerRig::MakeResponse("one") +
                           "HTTP/1.1 200 OK\r\n"
                           "Request-Id: r2\r\nResponse-Stamp: s\r\n"
                           "Content-Length: 5\r\n\r\nstale"});
  BOOST_TEST(rig.Exchange(Get("r1")).ends_with("one"));
  BOOST_TEST(rig.Exchange(Get("r2")).ends_with("fine"));
}

BOOST_AUTO_TEST_CASE(PrefersSuccessOfAnotherTargetToErrorResponse) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({ErrorResponse(500)});
  BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
}

BOOST_AUTO_TEST_CASE(ForwardsErrorResponseWhenAllTargetsFail) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({ErrorResponse(500)});
  rig.AddScriptedResponse({ErrorResponse(500)});
  const std::string response = rig.Exchange(Get());
  BOOST_TEST(StatusOf(response) == "500");
  BOOST_TEST(Contains(response, "Response-Stamp: s"));
  BOOST_TEST(response.ends_with("bad"));
}

BOOST_AUTO_TEST_CASE(ForwardsErrorResponseOfAtMostOnceWorkWithoutRetry) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({ErrorResponse(500)});
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "500");
  BOOST_TEST(rig.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusesMalformedRequestsAndKeepsServing) {
  RoutedServerRig rig(1);
  BOOST_TEST(StatusOf(rig.Exchange("GARBAGE\r\n\r\n")) == "400");
  BOOST_TEST(StatusOf(rig.Exchange(
                 "POST /write/x HTTP/1.1\r\nHost: a.example\r\n"
                 "Request-Id: r1\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) == "400");
  rig.limits().header_bytes = 256;
  BOOST_TEST(StatusOf(rig.Exchange("GET /read/x HTTP/1.1\r\nX: " +
                                   std::string(400, 'x') + "\r\n\r\n")) ==
             "431");
  rig.limits().body_bytes = 4;
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "413");
  BOOST_TEST(rig.requests().empty());
  BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
}

// The VM used to buffer the extension for as long as it came.
BOOST_AUTO_TEST_CASE(RefusesEndlessChunkExtension) {
  constexpr Duration kMaxTime = std::chrono::seconds(1);
  RoutedServerRig rig(1);
  const TimePoint limit = std::chrono::steady_clock::now() + kMaxTime;
  const auto exchange = rig.StartExchange(
      "POST /write/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4;" +
      std::string(1024UL * 1024, 'x'));
  rig.RunUntil([&] {
    return exchange->second || std::chrono::steady_clock::now() > limit;
  });
  BOOST_TEST(StatusOf(exchange->first) == "400");
  BOOST_TEST(rig.requests().empty());
}

// Idempotent work is cancelled as soon as its caller disconnects, so that the
// slot of the target is free for other calls.
BOOST_AUTO_TEST_CASE(CancelsIdempotentWorkWhenCallerDisconnects) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {.bytes = RoutedServerRig::MakeResponse("late"), .hold_response = true});
  rig.SendAndDisconnect(Get());
  rig.RunUntil([&] { return rig.aborted_requests() == 1U; });
  BOOST_TEST(StatusOf(rig.Exchange(Get("r2"))) == "200");
}

// A target whose queue is full never responds to an at-most-once call, and its
// load reports show that it doesn't have the call. The caller learns early that
// the outcome is unknown, nothing is sent again, and the connection is closed.
BOOST_AUTO_TEST_CASE(AtMostOnceCallThatItsTargetDroppedEndsBeforeItsTimeout) {
  RoutedServerRig rig(1);
  rig.SetRouteTimeout(std::chrono::seconds(20));
  rig.AddScriptedResponse(
      {.bytes = RoutedServerRig::MakeResponse("late"), .hold_response = true});
  const auto response = rig.StartExchange(
      "POST /write/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
      "Connection: close\r\nContent-Length: 2\r\n\r\nab");
  const auto start = std::chrono::steady_clock::now();
  rig.RunUntil([&] { return response->second; });
  BOOST_TEST(
      (std::chrono::steady_clock::now() - start < std::chrono::seconds(10)));
  BOOST_TEST(StatusOf(response->first) == "502");
  rig.RunUntil([&] { return rig.aborted_requests() == 1U; });
  BOOST_TEST(rig.requests().size() == 1U);
}

// A full target may leave health checks without a response, too.
BOOST_AUTO_TEST_CASE(SilentHealthCheckEndsSoonAndItsConnectionIsClosed) {
  RoutedServerRig rig(1);
  rig.SilenceHealthChecks();
  std::optional<ProbeOutcome> outcome;
  rig.server().Probe({rig.target(0), "/health", std::chrono::milliseconds(150)},
                     [&](const ProbeOutcome& ended) { outcome = ended; });
  rig.RunUntil([&] { return outcome.has_value(); });
  BOOST_TEST(!outcome->responded);
  rig.RunUntil([&] { return rig.aborted_requests() == 1U; });
  BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
}

// Connections that the kernel has accepted, but the VM has not, are served when
// it stops accepting.
BOOST_AUTO_TEST_CASE(ServesConnectionsThatWaitToBeAcceptedWhenItStops) {
  RoutedServerRig rig(2);
  constexpr int kConnections = 40;
  std::vector<std::shared_ptr<std::pair<std::string, bool>>> responses;
  responses.reserve(kConnections);
  for (int id = 0; id < kConnections; ++id) {
    responses.push_back(rig.SendAtOnce(RoutedServerRig::MakeRequest(
        id % 2 == 0 ? "GET" : "POST", id % 2 == 0 ? "/read/x" : "/write/x",
        "r" + std::to_string(id))));
  }
  rig.server().BeginStop();
  rig.server().StopAccepting();
  for (const auto& response : responses) {
    rig.RunUntil([&] { return response->second; });
    BOOST_TEST(!response->first.empty());
    BOOST_TEST(StatusOf(response->first) != "502");
  }
}

// Stop under load: every request that was read gets its response, even when the
// target responds only after the VM has stopped accepting connections. The
// response announces that the connection closes.
BOOST_AUTO_TEST_CASE(CompletesReceivedRequestsDuringStop) {
  RoutedServerRig rig(2);
  rig.AddScriptedResponse(
      {.bytes = RoutedServerRig::MakeResponse("slow"), .hold_response = true});
  rig.AddScriptedResponse(
      {.bytes = RoutedServerRig::MakeResponse("slow"), .hold_response = true});
  const auto read = rig.StartExchange(
      "GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 5000\r\n\r\n");
  const auto write = rig.StartExchange(
      "POST /write/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r2\r\n"
      "Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nab");
  rig.RunUntil([&] { return rig.requests().size() == 2U; });
  rig.server().BeginStop();
  // The load balancer in front of the VM has not noticed the stop yet, so new
  // connections are still served.
  const auto late = rig.StartExchange(
      "GET /read/y HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r3\r\n\r\n");
  rig.RunUntil([&] { return late->second; });
  BOOST_TEST(StatusOf(late->first) == "200");
  BOOST_TEST(Contains(late->first, "Connection: close"));
  rig.server().StopAccepting();
  BOOST_TEST(rig.server().connections() >= 2U);
  rig.ReleaseHeldResponses();
  rig.RunUntil([&] {
    return read->second && write->second && rig.server().connections() == 0;
  });
  for (const auto& response : {read, write}) {
    BOOST_TEST(StatusOf(response->first) == "200");
    BOOST_TEST(Contains(response->first, "Connection: close"));
    BOOST_TEST(response->first.ends_with("slow"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
