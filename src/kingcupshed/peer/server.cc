#include "kingcupshed/peer/server.h"

#include <atomic>
#include <chrono>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <boost/asio/post.hpp>

#include "peer.grpc.pb.h"

namespace kingcupshed::peer {

namespace {

/// Calls beyond this number are refused while others wait for the io_context.
constexpr int kMaxPendingCalls = 128;
constexpr int kMaxMessageBytes = 4 * 1024 * 1024;
constexpr int kMinPingIntervalMs = 2'000;
constexpr std::chrono::milliseconds kStopTimeout{200};

}  // namespace

struct Server::State final : wire::Peers::CallbackService {
  State(boost::asio::io_context& io, ServerHandlers handlers)
      : io(io), handlers(std::move(handlers)) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const wire::Gossip* request,
                                     wire::Gossip* response) override {
    return Handle(context,
                  [=, this] { handlers.exchange(*request, *response); });
  }

  grpc::ServerUnaryReactor* FetchKeptAnswer(
      grpc::CallbackServerContext* context,
      const wire::KeptAnswerRequest* request,
      wire::KeptAnswer* response) override {
    return Handle(context, [=, this] {
      handlers.fetch_kept_answer(*request, *response);
    });
  }

  grpc::ServerUnaryReactor* FetchPublished(
      grpc::CallbackServerContext* context,
      const wire::PublishedRequest* request,
      wire::Published* response) override {
    return Accept(context, [=, this](grpc::ServerUnaryReactor* reactor) {
      handlers.fetch_published(*request, *response, [reactor] {
        reactor->Finish(grpc::Status::OK);
      });
    });
  }

  grpc::ServerUnaryReactor* FetchRoutes(
      grpc::CallbackServerContext* context,
      const wire::RoutesRequest* request,
      wire::RoutesDocument* response) override {
    return Handle(context,
                  [=, this] { handlers.fetch_routes(*request, *response); });
  }

  /// Runs a handler on the io_context's thread and then ends the call.
  template <typename Handler>
  grpc::ServerUnaryReactor* Handle(grpc::CallbackServerContext* context,
                                   Handler handler) {
    return Accept(context, [handler = std::move(handler)](
                               grpc::ServerUnaryReactor* reactor) {
      handler();
      reactor->Finish(grpc::Status::OK);
    });
  }

  /// Runs a handler on the io_context's thread; it ends the call, then or
  /// later.
  template <typename Handler>
  grpc::ServerUnaryReactor* Accept(grpc::CallbackServerContext* context,
                                   Handler handler) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    // The call is counted before `stopped` is checked: either this function
    // sees `stopped`, or `Stop` sees the call and waits for it.
    if (pending_calls.fetch_add(1) >= kMaxPendingCalls || stopped) {
      --pending_calls;
      reactor->Finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "no more calls"});
      return reactor;
    }
    boost::asio::post(io, [this, reactor, handler = std::move(handler)] {
      --pending_calls;
      handler(reactor);
    });
    return reactor;
  }

  boost::asio::io_context& io;
  ServerHandlers handlers;
  /// Number of calls waiting for the thread of the io_context.
  std::atomic<int> pending_calls{0};
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
  // Completes calls already posted to the io_context, on its own thread.
  while (state_->pending_calls > 0) {
    state_->io.poll_one();
  }
  state_->server->Shutdown(std::chrono::system_clock::now() + kStopTimeout);
  state_->server.reset();
}

}  // namespace kingcupshed::peer
