#include "kingcupshed/peer/client.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <boost/asio/post.hpp>

#include "peer.grpc.pb.h"

namespace kingcupshed::peer {

namespace {

constexpr int kKeepaliveMs = 5'000;
constexpr int kKeepaliveTimeoutMs = 2'000;
constexpr int kMaxReconnectDelayMs = 1'000;
constexpr int kMaxMessageBytes = 4 * 1024 * 1024;
/// Calls to one VM that may be open at once.
constexpr int kMaxCallsPerPeer = 8;
/// Late calls in a row after which the connection counts as silent.
constexpr int kLateCallsBeforeReconnect = 2;

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectDelayMs);
  // A new channel must mean a new connection.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
      "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

/// One call under way; lives until its answer was handled.
template <typename Request, typename Answer>
struct Call {
  grpc::ClientContext context;
  Request request;
  Answer answer;
};

}  // namespace

struct Client::State : std::enable_shared_from_this<Client::State> {
  struct Peer {
    std::shared_ptr<wire::Peers::Stub> stub;
    int calls = 0;
    int late_calls = 0;
  };

  explicit State(boost::asio::io_context& io) : io(io) {}

  template <typename Request, typename Answer, typename Method>
  void Start(const std::string& address,
             const Request& request,
             Duration timeout,
             Method method,
             std::function<void(const Answer*)> on_answer);
  void Ended(const std::string& address, grpc::StatusCode code);
  Peer* FindPeer(const std::string& address);
  bool Begin(grpc::ClientContext* context);
  void End(grpc::ClientContext* context);
  void CancelAll();

  boost::asio::io_context& io;
  std::map<std::string, Peer> peers;

  /// Guards what follows, which gRPC's threads touch too.
  std::mutex mutex;
  std::condition_variable idle;
  std::set<grpc::ClientContext*> open;
  bool stopped = false;
};

Client::State::Peer* Client::State::FindPeer(const std::string& address) {
  Peer& peer = peers[address];
  if (peer.calls >= kMaxCallsPerPeer) {
    return nullptr;
  }
  if (peer.stub == nullptr) {
    peer.stub = wire::Peers::NewStub(OpenChannel(address));
  }
  return &peer;
}

bool Client::State::Begin(grpc::ClientContext* context) {
  const std::lock_guard lock(mutex);
  if (!stopped) {
    open.insert(context);
  }
  return !stopped;
}

void Client::State::End(grpc::ClientContext* context) {
  const std::lock_guard lock(mutex);
  open.erase(context);
  idle.notify_all();
}

void Client::State::CancelAll() {
  std::unique_lock lock(mutex);
  stopped = true;
  for (grpc::ClientContext* context : open) {
    context->TryCancel();
  }
  idle.wait(lock, [this] { return open.empty(); });
}

void Client::State::Ended(const std::string& address, grpc::StatusCode code) {
  const auto found = peers.find(address);
  if (found == peers.end()) {
    return;
  }
  Peer& peer = found->second;
  --peer.calls;
  if (code != grpc::StatusCode::DEADLINE_EXCEEDED) {
    peer.late_calls = 0;
    return;
  }
  if (++peer.late_calls >= kLateCallsBeforeReconnect) {
    // The connection may be silent for good: the next call opens a new one.
    peer.stub.reset();
    peer.late_calls = 0;
  }
}

template <typename Request, typename Answer, typename Method>
void Client::State::Start(const std::string& address,
                          const Request& request,
                          Duration timeout,
                          Method method,
                          std::function<void(const Answer*)> on_answer) {
  auto call = std::make_shared<Call<Request, Answer>>();
  Peer* peer = FindPeer(address);
  if (peer == nullptr || !Begin(&call->context)) {
    boost::asio::post(io, [on_answer] { on_answer(nullptr); });
    return;
  }
  ++peer->calls;
  call->request = request;
  call->context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::microseconds>(timeout));
  auto* async = peer->stub->async();
  // The stub must outlive the call although the peer may drop it before.
  auto done = [self = shared_from_this(), stub = peer->stub, call, address,
               on_answer](const grpc::Status& status) {
    boost::asio::post(self->io, [self, stub, call, address, on_answer,
                                 code = status.error_code()] {
      self->Ended(address, code);
      on_answer(code == grpc::StatusCode::OK ? &call->answer : nullptr);
    });
    self->End(&call->context);
  };
  (async->*method)(&call->context, &call->request, &call->answer,
                   std::move(done));
}

Client::Client(boost::asio::io_context& io)
    : state_(std::make_shared<State>(io)) {}

Client::~Client() {
  Stop();
}

void Client::Exchange(const std::string& address,
                      const wire::Gossip& request,
                      Duration timeout,
                      GossipAnswer on_answer) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::Gossip*, wire::Gossip*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::Exchange;
  state_->Start<wire::Gossip, wire::Gossip>(address, request, timeout, method,
                                            std::move(on_answer));
}

void Client::FetchKeptAnswer(const std::string& address,
                             const wire::KeptAnswerRequest& request,
                             Duration timeout,
                             KeptAnswerAnswer on_answer) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::KeptAnswerRequest*, wire::KeptAnswer*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::FetchKeptAnswer;
  state_->Start<wire::KeptAnswerRequest, wire::KeptAnswer>(
      address, request, timeout, method, std::move(on_answer));
}

void Client::FetchPublished(const std::string& address,
                            const wire::PublishedRequest& request,
                            Duration timeout,
                            PublishedAnswer on_answer) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::PublishedRequest*, wire::Published*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::FetchPublished;
  state_->Start<wire::PublishedRequest, wire::Published>(
      address, request, timeout, method, std::move(on_answer));
}

void Client::Forget(const std::string& address) {
  state_->peers.erase(address);
}

void Client::Stop() {
  state_->CancelAll();
}

}  // namespace kingcupshed::peer
