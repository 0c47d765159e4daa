#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "kingcupshed/core/time.h"
#include "standin/load_results.h"

namespace standin {

/// One call to a VM.
struct LoadCall {
  /// Index of the VM in the client's list.
  std::size_t vm = 0;
  std::string method;
  std::string path;
  /// Name of the caller, which the response has to echo.
  std::string caller;
  /// Idempotency key; empty for none.
  std::string key;
  std::string body;
  int rank = 2;
  /// Deadline sent with the call; zero for none.
  kingcupshed::Duration deadline{};
  /// Timeout for connecting, and again for the exchange of the call.
  kingcupshed::Duration timeout{};
};

/// Outcome and properties of a call's response.
struct LoadResponse {
  CallOutcome outcome = CallOutcome::kFailed;
  /// HTTP status code; zero when no response arrived.
  unsigned code = 0;
  /// Size of the response body.
  std::size_t bytes = 0;
  /// Reason for a refusal; empty when the response gives none.
  std::string reason;
  /// Name of the target that responded; empty when unknown.
  std::string target;
};

/// HTTP client that sends calls to several VMs over persistent connections.
class LoadClient {
 public:
  /// @param vms Addresses of the VMs; each must be well formed.
  LoadClient(boost::asio::io_context& io, const std::vector<std::string>& vms);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  /// Sends one call and checks its response byte by byte.
  [[nodiscard]] boost::asio::awaitable<LoadResponse> Send(LoadCall call);

  /// Returns the number of connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const noexcept;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace standin
