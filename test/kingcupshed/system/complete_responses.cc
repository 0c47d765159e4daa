#include <csignal>
#include <future>
#include <iterator>
#include <string>

#include <boost/test/unit_test.hpp>

#include "kingcupshed/http/fetch.h"
#include "standin/generated_file.h"
#include "support/deployment.h"

namespace kingcupshed {

namespace {

using http::FetchStatus;

constexpr std::size_t kLongFileBytes = 50'000'000;
constexpr long kMaxVmMemoryKib = 64L * 1024;

http::FetchRequest MakeRequest(const support::Deployment& deployment,
                               std::string path) {
  http::FetchRequest request;
  request.address = deployment.vm_address();
  request.path = std::move(path);
  request.timeout = std::chrono::seconds(30);
  return request;
}

std::string FilePath(std::size_t size) {
  return "/files/file/" + std::to_string(size);
}

/// Starts a download in its own thread.
std::future<http::FetchResult> Download(const support::Deployment& deployment,
                                        std::size_t size) {
  return std::async(std::launch::async,
                    [request = MakeRequest(deployment, FilePath(size))] {
                      return support::Deployment::Fetch(request);
                    });
}

bool IsFile(const http::FetchResult& result, std::size_t size) {
  return result.status == FetchStatus::kCompleted && result.code == 200 &&
         result.body == standin::GeneratedFile(FilePath(size)).Read(0, size);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Promise2)

BOOST_AUTO_TEST_CASE(LongBodiesPassInBoundedMemory) {
  const support::Deployment deployment;
  BOOST_TEST(
      IsFile(Download(deployment, kLongFileBytes).get(), kLongFileBytes));
  http::FetchRequest upload = MakeRequest(deployment, "/files/upload");
  upload.method = "POST";
  upload.body = std::string(kLongFileBytes, 'x');
  const auto response = support::Deployment::Fetch(upload);
  BOOST_TEST(response.code == 200U);
  BOOST_TEST(response.body.find("bytes=" + std::to_string(kLongFileBytes)) !=
             std::string::npos);
  BOOST_TEST(deployment.VmPeakMemory() < kMaxVmMemoryKib);
}

BOOST_AUTO_TEST_CASE(DownloadSurvivesKillOfItsTarget) {
  support::Deployment deployment;
  auto download = Download(deployment, kLongFileBytes);
  support::Deployment::WaitUntil([&] {
    return deployment.ReadCounter(0, "bytes_out") +
               deployment.ReadCounter(1, "bytes_out") >
           0;
  });
  const bool first_target_serves = deployment.ReadCounter(0, "bytes_out") > 0;
  (first_target_serves ? deployment.targets.front()
                       : *std::next(deployment.targets.begin()))
      .Signal(SIGKILL);
  BOOST_TEST(IsFile(download.get(), kLongFileBytes));
  const std::string events =
      support::Deployment::Fetch(MakeRequest(deployment, "/events")).body;
  BOOST_TEST(events.find("answer_resumed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SilentConnectionsAreReplacedByNewOnes) {
  const support::Deployment deployment;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(
        support::Deployment::Fetch(MakeRequest(deployment, "/files/x")).code ==
        200U);
  }
  deployment.ControlTarget(0, {{"silent", true}});
  deployment.ControlTarget(1, {{"silent", true}});
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(
        support::Deployment::Fetch(MakeRequest(deployment, "/files/x")).code ==
        200U);
  }
  const auto taken = std::chrono::steady_clock::now() - start;
  BOOST_TEST((taken < std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise6)

BOOST_AUTO_TEST_CASE(StopInterruptsNoRequest) {
  support::Deployment deployment;
  auto download = Download(deployment, kLongFileBytes);
  http::FetchRequest order = MakeRequest(deployment, "/orders/booking");
  order.method = "POST";
  order.headers["Work-Ms"] = "1500";
  order.headers["Idempotency-Key"] = "key-1";
  auto ordered = std::async(std::launch::async,
                            [&] { return support::Deployment::Fetch(order); });
  support::Deployment::WaitUntil([&] {
    return deployment.ReadCounter(2, "started") +
               deployment.ReadCounter(3, "started") >
           0;
  });
  deployment.vm.front().Signal(SIGTERM);
  deployment.vm.front().Signal(SIGINT);
  // The load balancer in front of the VM has not noticed the stop yet, so the
  // VM still receives new connections.
  BOOST_TEST(
      support::Deployment::Fetch(MakeRequest(deployment, "/files/x")).code ==
      200U);
  BOOST_TEST(IsFile(download.get(), kLongFileBytes));
  BOOST_TEST(ordered.get().code == 200U);
  BOOST_TEST(deployment.vm.front().Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed
