#include "kingcupshed/http/internal/server_state.h"

#include <array>
#include <charconv>
#include <utility>

namespace kingcupshed::http {

namespace {

constexpr std::size_t kDefaultConnectionLimit = 15;
constexpr int kTimestampBase = 36;

/// Returns the current time in a compact form, which keeps call ids unique
/// across restarts.
std::string StartTimestamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::array<char, 16> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), ms, kTimestampBase);
  return {text.data(), end.ptr};
}

PoolContext MakePoolContext(ServerState& state) {
  const ServerContext& context = state.context;
  return {context.target_address,
          [&context](TargetId target) {
            return context.connection_limit ? context.connection_limit(target)
                                            : kDefaultConnectionLimit;
          },
          context.source_address,
          [&state](TargetId target, std::size_t count) {
            state.Record("connections_retired", "",
                         state.context.target_name(target), "",
                         std::to_string(count) + " silent");
          },
          context.connect_timeout};
}

}  // namespace

ServerState::ServerState(asio::io_context& io, ServerContext server_context)
    : io(io),
      context(std::move(server_context)),
      acceptor(io),
      pool(io.get_executor(), MakePoolContext(*this)),
      call_id_prefix_(context.vm + "-" + StartTimestamp() + "-") {}

std::string ServerState::NextCallId() {
  return call_id_prefix_ + std::to_string(next_call_++);
}

SessionLimits ServerState::Limits() const {
  return context.session_limits ? context.session_limits() : SessionLimits{};
}

void ServerState::Record(std::string kind,
                         const std::string& call,
                         std::string target,
                         std::string service,
                         std::string detail) {
  timeline::Event event;
  event.part = "http";
  event.kind = std::move(kind);
  event.call = call;
  event.target = std::move(target);
  event.service = std::move(service);
  event.detail = std::move(detail);
  context.recorder.Record(std::move(event), std::chrono::system_clock::now());
}

}  // namespace kingcupshed::http
