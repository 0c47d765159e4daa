#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "kingcupshed/core/time.h"
#include "standin/load_results.h"

namespace standin {

/// One call as it goes to a VM.
struct LoadCall {
  /// Position of the VM in the client's list.
  std::size_t vm = 0;
  std::string method;
  std::string path;
  /// Name of the caller, checked in the answer.
  std::string caller;
  /// Idempotency key; empty for none.
  std::string key;
  std::string body;
  int rank = 2;
  kingcupshed::Duration deadline{};
  kingcupshed::Duration timeout{};
};

/// How one call ended.
struct LoadResponse {
  CallOutcome outcome = CallOutcome::kFailed;
  unsigned code = 0;
  std::size_t bytes = 0;
  std::string reason;
  std::string target;
};

/// Sends calls over persistent connections to several VMs.
class LoadClient {
 public:
  /// @param vms Addresses of the VMs; each has to be well formed.
  LoadClient(boost::asio::io_context& io, const std::vector<std::string>& vms);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  /// Sends one call and checks its answer byte by byte.
  [[nodiscard]] boost::asio::awaitable<LoadResponse> Send(LoadCall call);

  /// Returns the number of connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const noexcept;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace standin
