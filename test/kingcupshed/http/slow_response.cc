#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "support/routed_server_rig.h"

namespace kingcupshed::http {

namespace {

using support::RoutedServerRig;

constexpr std::string_view kPiece = "0123456789";

}  // namespace

BOOST_AUTO_TEST_SUITE(SlowResponseTest)

// Without it a limit of the VM can't be told from a target that broke off.
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
