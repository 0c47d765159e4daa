#include "kingcupshed/http/probe.h"

#include <chrono>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include "standin/endless_response.h"
#include "support/server_rig.h"

namespace kingcupshed::http {

namespace {

std::optional<LoadReport> FetchLoad(support::ServerRig& rig,
                                    const std::string& address) {
  std::optional<LoadReport> load;
  bool done = false;
  boost::asio::co_spawn(
      rig.io(), Probe(address, ""),
      [&](const std::exception_ptr&, std::optional<LoadReport> response) {
        load = response;
        done = true;
      });
  rig.RunUntil([&] { return done; });
  return load;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ProbeTest)

BOOST_AUTO_TEST_CASE(TargetReportsItsLoad) {
  support::ServerRig rig;
  const standin::Target& target = rig.targets().front();
  const auto load = FetchLoad(rig, target.spec.address);
  BOOST_REQUIRE(load.has_value());
  BOOST_TEST(load->in_flight == 0U);
  BOOST_TEST(load->slots == target.spec.slots);
  BOOST_TEST(target.counters.probes == 1U);
}

// The client used to buffer up to 64 MiB of a body, and chunk heads and
// trailers for as long as they came.
BOOST_AUTO_TEST_CASE(EndlessResponseReportsNothing) {
  // A sixteenth of the 64 MiB that a VM may use while it forwards long bodies.
  constexpr std::size_t kMaxBytesSent = 4UL * 1024 * 1024;
  constexpr Duration kMaxTime = std::chrono::milliseconds(1500);
  for (const auto& kind : standin::EndlessResponses()) {
    BOOST_TEST_CONTEXT(kind.fault) {
      support::ServerRig rig;
      standin::Target& target = rig.targets().front();
      target.behaviour.load_fault = kind.fault;
      const TimePoint start = std::chrono::steady_clock::now();
      BOOST_TEST(!FetchLoad(rig, target.spec.address).has_value());
      BOOST_TEST((std::chrono::steady_clock::now() - start <= kMaxTime));
      BOOST_TEST(target.counters.bytes_out <= kMaxBytesSent);
    }
  }
}

BOOST_AUTO_TEST_CASE(UnreachableTargetReportsNothing) {
  support::ServerRig rig;
  BOOST_TEST(!FetchLoad(rig, "127.0.0.1:1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::http
