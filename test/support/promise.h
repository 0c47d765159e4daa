#pragma once

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::support {

/// Checks a property that tests one of the guarantees of the software, here
/// called promises, and prints how many random histories were run.
///
/// The number of histories and the seed are set by the environment variable
/// RC_PARAMS, as in `seed=1 max_success=10000`. `scripts/prove` parses the
/// printed line.
/// @param number Number of the guarantee in docs/guarantees.md.
/// @param name Name of the property.
/// @param property Function that rapidcheck can call with random arguments.
template <typename Property>
void CheckPromise(int number, const std::string& name, Property&& property) {
  const rc::detail::TestMetadata metadata{"promise" + std::to_string(number),
                                          name};
  const auto& params = rc::detail::configuration().testParams;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::forward<Property>(property), metadata, params);
  rc::detail::SuccessResult success{};
  const bool passed = result.match(success);
  std::cout << "promise " << number << " name=" << name
            << " histories=" << success.numSuccess
            << " violations=" << (passed ? 0 : 1) << " seed=" << params.seed
            << std::endl;
  if (!passed) {
    rc::detail::printResultMessage(result, std::cout);
    std::cout << std::endl;
  }
  BOOST_TEST(passed, "promise " << number << ": " << name);
}

}  // namespace kingcupshed::support
