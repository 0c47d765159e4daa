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

std::string StatusOf(const std::string& answer) {
  return answer.size() < 12 ? "none" : answer.substr(9, 3);
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string NotRun(unsigned code) {
  return "HTTP/1.1 " + std::to_string(code) +
         " Refused\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::string Failure(unsigned code) {
  return "HTTP/1.1 " + std::to_string(code) +
         " Failed\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
         "Content-Length: 3\r\n\r\nbad";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Routed)

BOOST_AUTO_TEST_CASE(PassesTheCallAndItsAnswerOnUnchanged) {
  RoutedServerRig rig(2);
  const std::string answer = rig.Exchange(Post());
  BOOST_TEST(StatusOf(answer) == "200");
  BOOST_TEST(Contains(answer, "Response-Stamp: s"));
  BOOST_TEST(answer.ends_with("\r\n\r\nfine"));
  BOOST_REQUIRE_EQUAL(rig.requests().size(), 1U);
  const std::string& request = rig.requests().front();
  BOOST_TEST(request.starts_with("POST /write/x HTTP/1.1"));
  BOOST_TEST(Contains(request, "Request-Id: r1"));
  BOOST_TEST(Contains(request, "Expect-Instance: i-"));
  BOOST_TEST(Contains(request, "Deadline-Ms: "));
  BOOST_TEST(!Contains(request, "Kingcupshed"));
  BOOST_TEST(request.ends_with("payload"));
}

BOOST_AUTO_TEST_CASE(AnswersUnknownRoutesItself) {
  RoutedServerRig rig(1);
  const std::string answer =
      rig.Exchange(RoutedServerRig::MakeRequest("GET", "/nowhere", "r1"));
  BOOST_TEST(StatusOf(answer) == "404");
  BOOST_TEST(rig.requests().empty());
}

BOOST_AUTO_TEST_CASE(NeedsAnId) {
  RoutedServerRig rig(1);
  BOOST_TEST(StatusOf(rig.Exchange(Get(""))) == "400");
  BOOST_TEST(rig.requests().empty());
}

BOOST_AUTO_TEST_CASE(TriesAnotherTargetWhenOneTurnsTheWorkAway) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({NotRun(503)});
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "200");
  BOOST_TEST(rig.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(SaysNotRunWhenAllTargetsTurnTheWorkAway) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({NotRun(503)});
  rig.AddScriptedResponse({NotRun(421)});
  const std::string answer = rig.Exchange(Post());
  BOOST_TEST(StatusOf(answer) == "503");
  BOOST_TEST(Contains(answer, "Retry-After: 0."));
  BOOST_TEST(rig.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(PromisesNothingForWorkThatMayHaveRun) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({"", false, true});
  const std::string answer = rig.Exchange(Post());
  BOOST_TEST(StatusOf(answer) == "502");
  BOOST_TEST(!Contains(answer, "Retry-After"));
  BOOST_TEST(rig.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RepeatsLostIdempotentWork) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({"", false, true});
  BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
  BOOST_TEST(rig.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(NeverPassesATruncatedAnswerOn) {
  RoutedServerRig rig(3);
  const std::string whole = RoutedServerRig::MakeResponse("0123456789");
  rig.AddScriptedResponse({whole.substr(0, whole.size() - 4), true});
  const std::string answer = rig.Exchange(Get());
  BOOST_TEST(StatusOf(answer) == "200");
  BOOST_TEST(answer.ends_with("fine"));
}

BOOST_AUTO_TEST_CASE(PassesAnAnswerOnThatEndsWithItsConnection) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
       "\r\nuntil the end",
       true});
  const std::string answer = rig.Exchange(Get());
  BOOST_TEST(answer.ends_with("until the end"));
  BOOST_TEST(Contains(answer, "Content-Length: 13"));
}

BOOST_AUTO_TEST_CASE(ReplacesAnAnswerThatIsResetOnItsWay) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse(
      {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
       "\r\nuntil the",
       false, true});
  const std::string answer = rig.Exchange(Get());
  BOOST_TEST(answer.ends_with("fine"), answer);
}

// A second answer to an earlier call can come where the next is expected.
BOOST_AUTO_TEST_CASE(SkipsAnswersToOtherCalls) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: x\r\n"
       "Content-Length: 5\r\n\r\nwrong" +
       RoutedServerRig::MakeResponse("mine")});
  const std::string answer = rig.Exchange(Post());
  BOOST_TEST(answer.ends_with("mine"));
  BOOST_TEST(!Contains(answer, "wrong"));
}

BOOST_AUTO_TEST_CASE(RefusesAnswersThatAreNotTheTargets) {
  const std::vector<std::string> spoilt{
      // No digest.
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 3\r\n\r\nbad",
      // Encoded.
      RoutedServerRig::MakeResponse("bad", "Content-Encoding: gzip\r\n"),
      // No id.
      "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\nbad",
      // No answer in the protocol.
      "\x01\x02 garbage \r\n\r\n",
      // Two lengths.
      RoutedServerRig::MakeResponse("bad", "Content-Length: 9\r\n")};
  for (const std::string& bytes : spoilt) {
    RoutedServerRig rig(3);
    rig.AddScriptedResponse({bytes});
    const std::string answer = rig.Exchange(Get());
    BOOST_TEST(StatusOf(answer) == "200");
    BOOST_TEST(answer.ends_with("fine"));
  }
}

BOOST_AUTO_TEST_CASE(NeverUsesSurplusBytes) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse({RoutedServerRig::MakeResponse("one") +
                           "HTTP/1.1 200 OK\r\n"
                           "Request-Id: r2\r\nResponse-Stamp: s\r\n"
                           "Content-Length: 5\r\n\r\nstale"});
  BOOST_TEST(rig.Exchange(Get("r1")).ends_with("one"));
  BOOST_TEST(rig.Exchange(Get("r2")).ends_with("fine"));
}

BOOST_AUTO_TEST_CASE(PrefersASuccessElsewhereToAFailure) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({Failure(500)});
  BOOST_TEST(StatusOf(rig.Exchange(Get())) == "200");
}

BOOST_AUTO_TEST_CASE(PassesTheTargetsOwnFailureOn) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({Failure(500)});
  rig.AddScriptedResponse({Failure(500)});
  const std::string answer = rig.Exchange(Get());
  BOOST_TEST(StatusOf(answer) == "500");
  BOOST_TEST(Contains(answer, "Response-Stamp: s"));
  BOOST_TEST(answer.ends_with("bad"));
}

BOOST_AUTO_TEST_CASE(PassesAFailureOfAtMostOnceWorkOnAtOnce) {
  RoutedServerRig rig(3);
  rig.AddScriptedResponse({Failure(500)});
  BOOST_TEST(StatusOf(rig.Exchange(Post())) == "500");
  BOOST_TEST(rig.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusesMalformedRequestsAndGoesOn) {
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

// Work that may be repeated is given up at once when its caller leaves, so that
// the target has the slot for others.
BOOST_AUTO_TEST_CASE(EndsWorkWhoseCallerHasLeft) {
  RoutedServerRig rig(1);
  rig.AddScriptedResponse(
      {.bytes = RoutedServerRig::MakeResponse("late"), .hold_response = true});
  rig.SendAndDisconnect(Get());
  rig.RunUntil([&] { return rig.aborted_requests() == 1U; });
  BOOST_TEST(StatusOf(rig.Exchange(Get("r2"))) == "200");
}

// A stop under load: what was read is answered, also when the target takes
// until after the VM accepts no more; the connection says that it ends.
BOOST_AUTO_TEST_CASE(AnswersWhatItHasReadDuringAStop) {
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
  // The balancer has not noticed yet: a new connection is served.
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
  for (const auto& answer : {read, write}) {
    BOOST_TEST(StatusOf(answer->first) == "200");
    BOOST_TEST(Contains(answer->first, "Connection: close"));
    BOOST_TEST(answer->first.ends_with("slow"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
