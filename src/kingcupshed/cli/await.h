#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace kingcupshed::cli {

/// Runs a coroutine on its own event loop, and blocks until it has finished.
/// @return Its result; an exception of the coroutine is rethrown.
template <typename Result>
Result Await(boost::asio::awaitable<Result> task) {
  boost::asio::io_context io;
  auto future =
      boost::asio::co_spawn(io, std::move(task), boost::asio::use_future);
  io.run();
  return future.get();
}

}  // namespace kingcupshed::cli
