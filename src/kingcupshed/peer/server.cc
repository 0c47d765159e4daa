#include "kingcupshed/peer/server.h"

#include <atomic>
#include <chrono>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <boost/asio/post.hpp>

#include "peer.grpc.pb.h"

namespace kingcupshed::peer {

namespace {

constexpr int kMaxCalls = 128;
constexpr int kMaxMessageBytes = 4 * 1024 * 1024;
constexpr int kMinPingIntervalMs = 2'000;
constexpr std::chrono::milliseconds kStopTimeout{200};

}  // namespace

struct Server::State final : wire::Peers::CallbackService {
  State(boost::asio::io_context& io, ServerHandlers handlers)
      : io(io), handlers(std::move(handlers)) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const wire::Gossip* request,
                                     wire::Gossip* answer) override {
    return Handle(context, [=, this] { handlers.exchange(*request, *answer); });
  }

  grpc::ServerUnaryReactor* FetchKeptAnswer(
      grpc::CallbackServerContext* context,
      const wire::KeptAnswerRequest* request,
      wire::KeptAnswer* answer) override {
    return Handle(context,
                  [=, this] { handlers.fetch_kept_answer(*request, *answer); });
  }

  grpc::ServerUnaryReactor* FetchPublished(
      grpc::CallbackServerContext* context,
      const wire::PublishedRequest* request,
      wire::Published* answer) override {
    return Handle(context,
                  [=, this] { handlers.fetch_published(*request, *answer); });
  }

  /// Runs a handler on the io_context's thread and then ends the call.
  template <typename Handler>
  grpc::ServerUnaryReactor* Handle(grpc::CallbackServerContext* context,
                                   Handler handler) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    // Counted before the check: either this sees `stopped`, or `Stop` sees the
    // call and waits for it.
    if (calls.fetch_add(1) >= kMaxCalls || stopped) {
      --calls;
      reactor->Finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "no more calls"});
      return reactor;
    }
    boost::asio::post(io, [this, reactor, handler = std::move(handler)] {
      --calls;
      handler();
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  boost::asio::io_context& io;
  ServerHandlers handlers;
  /// Calls that wait for the io_context's thread.
  std::atomic<int> calls{0};
  std::atomic<bool> stopped{false};
  std::unique_ptr<grpc::Server> server;
};

Server::Server(boost::asio::io_context& io, ServerHandlers handlers)
    : state_(std::make_unique<State>(io, std::move(handlers))) {}

Server::~Server() {
  Stop();
}

bool Server::Listen(const std::string& address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(state_.get());
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  state_->server = builder.BuildAndStart();
  return state_->server != nullptr && port != 0;
}

void Server::Stop() {
  if (state_->server == nullptr) {
    return;
  }
  state_->stopped = true;
  if (state_->io.stopped()) {
    state_->io.restart();
  }
  // Calls that were handed to the io_context end here, on its own thread.
  while (state_->calls > 0) {
    state_->io.poll_one();
  }
  state_->server->Shutdown(std::chrono::system_clock::now() + kStopTimeout);
  state_->server.reset();
}

}  // namespace kingcupshed::peer
