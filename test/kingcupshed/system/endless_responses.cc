#include <filesystem>
#include <future>
#include <iterator>
#include <string>

#include <boost/test/unit_test.hpp>

#include "kingcupshed/http/fetch.h"
#include "standin/endless_response.h"
#include "support/deployment.h"

namespace kingcupshed {

namespace {

using http::FetchResult;
using http::FetchStatus;
using support::Deployment;

constexpr long kMaxVmMemoryKib = 64L * 1024;
/// A caller that gives up on a response after this time.
constexpr Duration kCallerTimeout = std::chrono::seconds(2);
constexpr Duration kMaxDelayOfOtherCalls = std::chrono::milliseconds(500);
/// Idle connections to targets, which the VM keeps.
constexpr std::size_t kMaxAddedDescriptors = 16;

std::size_t CountDescriptors(const Deployment& deployment) {
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(deployment.vm.front().id()) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

FetchResult Call(const Deployment& deployment, const std::string& path) {
  http::FetchRequest request;
  request.address = deployment.vm_address();
  request.path = path;
  request.timeout = kCallerTimeout;
  request.headers["Caller"] = "me";
  return Deployment::Fetch(std::move(request));
}

/// Returns true for an own, whole response and for one that says it is none.
bool IsTruthful(const FetchResult& result) {
  if (result.status != FetchStatus::kCompleted || result.code != 200) {
    return true;
  }
  return result.body.ends_with(" GET /files/x me \n") || result.body == "fine";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise2)

BOOST_AUTO_TEST_CASE(EndlessResponsesHoldNeitherMemoryNorConnections) {
  constexpr int kCalls = 6;
  const Deployment deployment;
  BOOST_REQUIRE_EQUAL(Call(deployment, "/files/x").code, 200U);
  const std::size_t descriptors = CountDescriptors(deployment);
  for (const auto& kind : standin::EndlessResponses()) {
    BOOST_TEST_CONTEXT(kind.fault) {
      for (const std::size_t target : {0U, 1U}) {
        deployment.ControlTarget(
            target, {{"fault", boost::json::object{{"kind", kind.fault},
                                                   {"count", kCalls}}}});
      }
      std::vector<std::future<FetchResult>> calls;
      calls.reserve(kCalls);
      for (int call = 0; call < kCalls; ++call) {
        calls.push_back(std::async(
            std::launch::async, [&] { return Call(deployment, "/files/x"); }));
      }
      for (int call = 0; call < kCalls; ++call) {
        const auto start = std::chrono::steady_clock::now();
        BOOST_TEST(Call(deployment, "/orders/x").code == 200U);
        const auto taken = std::chrono::steady_clock::now() - start;
        BOOST_TEST((taken <= kMaxDelayOfOtherCalls));
      }
      for (auto& call : calls) {
        BOOST_TEST(IsTruthful(call.get()));
      }
      for (const std::size_t target : {0U, 1U}) {
        deployment.ControlTarget(
            target, {{"fault", boost::json::object{{"kind", kind.fault},
                                                   {"count", 0}}}});
      }
      Deployment::WaitUntil([&] {
        return CountDescriptors(deployment) <=
               descriptors + kMaxAddedDescriptors;
      });
      BOOST_TEST(deployment.VmPeakMemory() < kMaxVmMemoryKib);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed
