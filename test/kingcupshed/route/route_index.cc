#include "kingcupshed/route/route_index.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::route {

namespace {

Route MakeRoute(std::string host, std::string prefix, std::string service) {
  Route route;
  route.name = host + prefix;
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.weighted_services.push_back({std::move(service), 1.0});
  return route;
}

RouteIndex MakeIndex() {
  RouteTable table;
  table.routes = {MakeRoute("a.example", "/", "root"),
                  MakeRoute("a.example", "/x/", "x"),
                  MakeRoute("a.example", "/x/y/", "xy"),
                  MakeRoute("b.example", "/x/", "other")};
  table.routes[3].rank = Rank::kBulk;
  table.services.push_back({"x", "/health", 10});
  return RouteIndex(std::move(table));
}

std::string ServiceAt(const RouteIndex& index,
                      std::string_view host,
                      std::string_view path) {
  const Route* route = index.Find(host, path);
  return route == nullptr ? "none" : route->weighted_services.front().service;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RouteIndexTest)

BOOST_AUTO_TEST_CASE(MatchesTheLongestPrefix) {
  const RouteIndex index = MakeIndex();
  BOOST_TEST(ServiceAt(index, "a.example", "/x/y/z") == "xy");
  BOOST_TEST(ServiceAt(index, "a.example", "/x/yz") == "x");
  BOOST_TEST(ServiceAt(index, "a.example", "/xx") == "root");
  BOOST_TEST(ServiceAt(index, "a.example", "/x") == "root");
  BOOST_TEST(ServiceAt(index, "A.Example", "/x/") == "x");
}

BOOST_AUTO_TEST_CASE(MatchesPrefixesPerHost) {
  const RouteIndex index = MakeIndex();
  BOOST_TEST(ServiceAt(index, "b.example", "/x/y/") == "other");
  BOOST_TEST(ServiceAt(index, "b.example", "/") == "none");
  BOOST_TEST(ServiceAt(index, "c.example", "/x/") == "none");
}

BOOST_AUTO_TEST_CASE(FindsTheConfigurationOfAService) {
  const RouteIndex index = MakeIndex();
  BOOST_TEST(index.FindService("x")->max_connections == 10U);
  BOOST_TEST(index.FindService("y") == nullptr);
}

BOOST_AUTO_TEST_CASE(PicksServicesInProportionToTheirWeights) {
  Route route = MakeRoute("a", "/", "nine");
  route.weighted_services.front().weight = 90.0;
  route.weighted_services.push_back({"one", 10.0});
  route.weighted_services.push_back({"none", 0.0});
  Random random(1);
  int ones = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string& picked = PickService(route, random).service;
    BOOST_REQUIRE(picked != "none");
    ones += picked == "one" ? 1 : 0;
  }
  BOOST_TEST(ones > 900);
  BOOST_TEST(ones < 1100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::route
