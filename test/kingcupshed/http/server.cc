#include "kingcupshed/http/server.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/promise.h"
#include "support/server_rig.h"

namespace kingcupshed::http {

namespace {

using standin::CallOutcome;
using standin::LoadCall;
using standin::LoadResponse;

constexpr std::array<const char*, 7> kFaults{
    "truncate",     "surplus",      "late",       "crossed",
    "reset-before", "reset-during", "reset-after"};
constexpr Duration kDeadline = std::chrono::milliseconds(25);
constexpr Duration kLateDelay = std::chrono::milliseconds(35);
/// Bodies over this size are not kept in memory.
constexpr std::size_t kStreamedBytes = 64UL * 1024;

LoadCall DrawCall(std::size_t call_number) {
  LoadCall call;
  const bool order = *rc::gen::arbitrary<bool>();
  call.method = order ? "POST" : *rc::gen::element("GET", "POST");
  call.caller = "caller-" + std::to_string(call_number);
  call.deadline = kDeadline;
  call.timeout = std::chrono::seconds(10);
  const std::string service = order ? "/order" : "/lookup";
  if (call.method == "POST") {
    call.path = service + "/case/" + std::to_string(call_number);
    call.body = std::string(*rc::gen::element<std::size_t>(0, 10, 5000),
                            static_cast<char>('a' + call_number % 26));
  } else {
    call.path =
        service + "/file/" +
        std::to_string(*rc::gen::element<std::size_t>(10, 60'000, 200'000) +
                       call_number);
  }
  return call;
}

LoadCall MakePost(std::string path) {
  LoadCall call;
  call.method = "POST";
  call.caller = "caller";
  call.path = std::move(path);
  call.body = "payload";
  call.deadline = std::chrono::milliseconds(1900);
  call.timeout = std::chrono::seconds(10);
  return call;
}

/// Sends a call so often, one after the other, that each target has an idle
/// connection.
void SendOneByOne(support::ServerRig& rig, const LoadCall& call) {
  constexpr int kCalls = 10;
  for (int sent = 0; sent < kCalls; ++sent) {
    BOOST_REQUIRE(rig.SendAll({call}).front().outcome ==
                  CallOutcome::kCompleted);
  }
}

void DrawFaults(support::ServerRig& rig) {
  for (standin::Target& target : rig.targets()) {
    target.behaviour.late_delay = kLateDelay;
    for (const char* fault : kFaults) {
      target.behaviour.faults[fault] = *rc::gen::element(0, 0, 0, 1, 2);
    }
    target.behaviour.refusing = *rc::gen::inRange(0, 10) == 0;
  }
}

/// Runs random calls in a few rounds, with faults injected at the targets.
/// @param check Called with each call, its response and how often it was run.
template <typename Check>
void RunHistory(Check check) {
  support::ServerRig rig;
  std::size_t call_number = 0;
  const int rounds = *rc::gen::inRange(1, 5);
  for (int round = 0; round < rounds; ++round) {
    DrawFaults(rig);
    std::vector<LoadCall> calls;
    const int count = *rc::gen::inRange(1, 6);
    calls.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      calls.push_back(DrawCall(call_number++));
    }
    const std::vector<LoadResponse> responses = rig.SendAll(calls);
    for (std::size_t i = 0; i < calls.size(); ++i) {
      check(calls[i], responses[i], rig.CountRuns(calls[i].caller));
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise2)

BOOST_AUTO_TEST_CASE(EveryCallerGetsItsOwnCompleteResponse) {
  support::CheckPromise(2, "own and whole answers over sockets", [] {
    RunHistory([](const LoadCall&, const LoadResponse& response, std::size_t) {
      RC_ASSERT(response.outcome != CallOutcome::kWrong);
    });
  });
}

// The request was sent again on a new connection, and the caller got the start
// of the first response before the second one.
BOOST_AUTO_TEST_CASE(TruncatedResponseLeavesNothingInItsReplacement) {
  support::ServerRig rig;
  const LoadCall call = MakePost("/lookup/case");
  SendOneByOne(rig, call);
  for (standin::Target& target : rig.targets()) {
    target.behaviour.faults["truncate"] = 1;
  }
  BOOST_TEST((rig.SendAll({call}).front().outcome == CallOutcome::kCompleted));
}

// Guards against a VM that breaks off work at its target because the response
// is late for an old connection, though at-most-once work is not sent again.
BOOST_AUTO_TEST_CASE(LateAtMostOnceWorkIsAwaitedOnAReusedConnection) {
  support::ServerRig rig;
  const LoadCall call = MakePost("/order/case");
  SendOneByOne(rig, call);
  for (standin::Target& target : rig.targets()) {
    target.behaviour.late_delay = std::chrono::seconds(1);
    target.behaviour.faults["late"] = 1;
  }
  BOOST_TEST((rig.SendAll({call}).front().outcome == CallOutcome::kCompleted));
}

// Guards against a VM that breaks off calls at work because another call found
// that its own connection to their target was dead.
BOOST_AUTO_TEST_CASE(WorkGoesOnWhenAnotherConnectionToItsTargetIsDead) {
  support::ServerRig rig;
  const LoadCall call = MakePost("/lookup/case");
  const std::size_t count = 2 * support::ServerRig::kTargetsPerService;
  // Together, so that each target has idle connections.
  for (const LoadResponse& response :
       rig.SendAll(std::vector<LoadCall>(2 * count, call))) {
    BOOST_REQUIRE(response.outcome == CallOutcome::kCompleted);
  }
  for (standin::Target& target : rig.targets()) {
    target.behaviour.late_delay = std::chrono::seconds(1);
    target.behaviour.faults["late"] = 2;
  }
  std::vector<LoadCall> calls(count, call);
  // Uploads are streamed, so they can't be sent again on a new connection.
  for (std::size_t at = 0; at < count; at += 2) {
    calls[at].body = std::string(2 * kStreamedBytes, 'x');
  }
  constexpr unsigned kOk = 200;
  for (const LoadResponse& response : rig.SendAll(calls)) {
    BOOST_TEST(response.code == kOk);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise3)

BOOST_AUTO_TEST_CASE(WorkReportedAsNotRunIsInNoJournal) {
  support::CheckPromise(3, "not run over sockets", [] {
    RunHistory([](const LoadCall& call, const LoadResponse& response,
                  std::size_t runs) {
      RC_ASSERT(response.outcome != CallOutcome::kRefused || runs == 0);
      RC_ASSERT(response.outcome != CallOutcome::kCompleted || runs >= 1);
      RC_ASSERT(call.path.rfind("/order", 0) != 0 || runs <= 1);
    });
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise5)

BOOST_AUTO_TEST_CASE(NoWorkStartsWhileTheVmMayHaveMissedDrainMarks) {
  constexpr std::size_t kChecks = 3;
  support::ServerRig rig;
  rig.membership_current = false;
  LoadCall call;
  call.method = "GET";
  call.caller = "early";
  call.path = "/lookup/case";
  call.timeout = std::chrono::seconds(10);
  LoadResponse response;
  bool responded = false;
  rig.Send(call, [&](LoadResponse received) {
    response = std::move(received);
    responded = true;
  });
  rig.RunUntil([&] { return responded || rig.membership_checks >= kChecks; });
  BOOST_TEST(!responded);
  BOOST_TEST(rig.CountRuns("early") == 0U);
  rig.membership_current = true;
  rig.RunUntil([&] { return responded; });
  BOOST_TEST((response.outcome == CallOutcome::kCompleted));
  BOOST_TEST(rig.CountRuns("early") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
