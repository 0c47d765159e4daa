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
constexpr int kMaxReconnectBackoffMs = 1'000;
constexpr int kMaxMessageBytes = 4 * 1024 * 1024;
/// Maximum number of concurrent calls to one VM.
constexpr int kMaxCallsPerPeer = 8;
/// Number of consecutive calls that time out before the connection is assumed
/// to be dead.
constexpr int kMaxConsecutiveTimeouts = 2;

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  // Without this, a new channel would share the connection of an old one.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
      "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

/// A call in progress; it lives until its response has been handled.
template <typename Request, typename Response>
struct Call {
  grpc::ClientContext context;
  Request request;
  Response response;
};

}  // namespace

struct Client::State : std::enable_shared_from_this<Client::State> {
  struct Peer {
    std::shared_ptr<wire::Peers::Stub> stub;
    int open_calls = 0;
    int consecutive_timeouts = 0;
  };

  explicit State(boost::asio::io_context& io) : io(io) {}

  template <typename Request, typename Response, typename Method>
  void StartCall(const std::string& address,
                 const Request& request,
                 Duration timeout,
                 Method method,
                 std::function<void(const Response*)> on_response);
  void OnCallEnded(const std::string& address, grpc::StatusCode code);
  Peer* FindPeer(const std::string& address);
  bool RegisterCall(grpc::ClientContext* context);
  void UnregisterCall(grpc::ClientContext* context);
  void CancelAll();

  boost::asio::io_context& io;
  std::map<std::string, Peer> peers;

  /// Guards the members below, which are also accessed by gRPC's threads.
  std::mutex mutex;
  std::condition_variable all_calls_ended;
  std::set<grpc::ClientContext*> open_calls;
  bool stopped = false;
};

Client::State::Peer* Client::State::FindPeer(const std::string& address) {
  Peer& peer = peers[address];
  if (peer.open_calls >= kMaxCallsPerPeer) {
    return nullptr;
  }
  if (peer.stub == nullptr) {
    peer.stub = wire::Peers::NewStub(OpenChannel(address));
  }
  return &peer;
}

bool Client::State::RegisterCall(grpc::ClientContext* context) {
  const std::lock_guard lock(mutex);
  if (!stopped) {
    open_calls.insert(context);
  }
  return !stopped;
}

void Client::State::UnregisterCall(grpc::ClientContext* context) {
  const std::lock_guard lock(mutex);
  open_calls.erase(context);
  all_calls_ended.notify_all();
}

void Client::State::CancelAll() {
  std::unique_lock lock(mutex);
  stopped = true;
  for (grpc::ClientContext* context : open_calls) {
    context->TryCancel();
  }
  all_calls_ended.wait(lock, [this] { return open_calls.empty(); });
}

void Client::State::OnCallEnded(const std::string& address,
                                grpc::StatusCode code) {
  const auto found = peers.find(address);
  if (found == peers.end()) {
    return;
  }
  Peer& peer = found->second;
  --peer.open_calls;
  if (code != grpc::StatusCode::DEADLINE_EXCEEDED) {
    peer.consecutive_timeouts = 0;
    return;
  }
  if (++peer.consecutive_timeouts >= kMaxConsecutiveTimeouts) {
    // The connection may never recover; the next call opens a new one.
    peer.stub.reset();
    peer.consecutive_timeouts = 0;
  }
}

template <typename Request, typename Response, typename Method>
void Client::State::StartCall(
    const std::string& address,
    const Request& request,
    Duration timeout,
    Method method,
    std::function<void(const Response*)> on_response) {
  auto call = std::make_shared<Call<Request, Response>>();
  Peer* peer = FindPeer(address);
  if (peer == nullptr || !RegisterCall(&call->context)) {
    boost::asio::post(io, [on_response] { on_response(nullptr); });
    return;
  }
  ++peer->open_calls;
  call->request = request;
  call->context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::microseconds>(timeout));
  auto* async = peer->stub->async();
  // The stub must outlive the call, but the entry in `peers` may release it
  // earlier.
  auto done = [self = shared_from_this(), stub = peer->stub, call, address,
               on_response](const grpc::Status& status) {
    boost::asio::post(self->io, [self, stub, call, address, on_response,
                                 code = status.error_code()] {
      self->OnCallEnded(address, code);
      on_response(code == grpc::StatusCode::OK ? &call->response : nullptr);
    });
    self->UnregisterCall(&call->context);
  };
  (async->*method)(&call->context, &call->request, &call->response,
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
                      GossipCallback on_response) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::Gossip*, wire::Gossip*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::Exchange;
  state_->StartCall<wire::Gossip, wire::Gossip>(address, request, timeout,
                                                method, std::move(on_response));
}

void Client::FetchKeptAnswer(const std::string& address,
                             const wire::KeptAnswerRequest& request,
                             Duration timeout,
                             KeptAnswerCallback on_response) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::KeptAnswerRequest*, wire::KeptAnswer*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::FetchKeptAnswer;
  state_->StartCall<wire::KeptAnswerRequest, wire::KeptAnswer>(
      address, request, timeout, method, std::move(on_response));
}

void Client::FetchPublished(const std::string& address,
                            const wire::PublishedRequest& request,
                            Duration timeout,
                            PublishedCallback on_response) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::PublishedRequest*, wire::Published*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::FetchPublished;
  state_->StartCall<wire::PublishedRequest, wire::Published>(
      address, request, timeout, method, std::move(on_response));
}

void Client::FetchRoutes(const std::string& address,
                         const wire::RoutesRequest& request,
                         Duration timeout,
                         RoutesCallback on_response) {
  using Method = void (wire::Peers::Stub::async::*)(
      grpc::ClientContext*, const wire::RoutesRequest*, wire::RoutesDocument*,
      std::function<void(grpc::Status)>);
  const Method method = &wire::Peers::Stub::async::FetchRoutes;
  state_->StartCall<wire::RoutesRequest, wire::RoutesDocument>(
      address, request, timeout, method, std::move(on_response));
}

void Client::CloseChannel(const std::string& address) {
  state_->peers.erase(address);
}

void Client::Stop() {
  state_->CancelAll();
}

}  // namespace kingcupshed::peer
