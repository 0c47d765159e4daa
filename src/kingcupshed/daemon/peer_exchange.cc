#include "kingcupshed/daemon/peer_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using propagation::Content;
using propagation::CurrentTimes;

/// Routes that are longer, compressed, don't come with the response to a poll:
/// targets must not wait for them.
constexpr std::size_t kMaxRoutesInResponse = 4096;
/// Time for the transfer of a long document over a link that others use too.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(1200);
/// Longest time for which a poll is held, whatever it asks for.
constexpr Duration kMaxWait = std::chrono::seconds(2);
constexpr std::size_t kMaxHeldPolls = 512;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

void WritePlace(const VmEndpoint& endpoint, peer::wire::VmPlace& out) {
  out.set_vm(endpoint.vm);
  out.set_zone(endpoint.zone);
  out.set_peer_address(endpoint.peer_address);
}

VmEndpoint ReadPlace(const peer::wire::VmPlace& place) {
  return {place.vm(), place.zone(), place.peer_address()};
}

/// Returns the age in milliseconds, rounded up so that data never seems newer
/// than it is.
std::uint64_t AgeInMs(TimePoint since, TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(now - since).count());
}

TimePoint AtAge(std::uint64_t age_ms, TimePoint now) {
  return now - std::chrono::milliseconds(age_ms);
}

/// Calls another VM and waits for its response.
/// @param start Starts the call with a callback that gets the response, or
///   null.
template <typename Response, typename Start>
asio::awaitable<std::optional<Response>> Call(asio::io_context& io,
                                              Start start) {
  asio::steady_timer ended(io, asio::steady_timer::time_point::max());
  // Holds null when the call failed.
  std::optional<std::optional<Response>> result;
  // The callback always runs, so the captured references stay valid until then.
  start([&](const Response* received) {
    result.emplace(received == nullptr ? std::nullopt
                                       : std::optional(*received));
    ended.cancel();
  });
  while (!result) {
    boost::system::error_code error;
    co_await ended.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  co_return *std::move(result);
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context& io,
                           VmDirectory& vms,
                           RouteFollower& routes,
                           TargetFollower& targets,
                           const CurrentTimes& current,
                           std::function<void()> on_request)
    : io_(io),
      vms_(vms),
      routes_(routes),
      targets_(targets),
      current_(current),
      on_request_(std::move(on_request)),
      client_(io),
      server_(
          io,
          {[](const peer::wire::Gossip&, peer::wire::Gossip&) {},
           [](const peer::wire::KeptAnswerRequest&, peer::wire::KeptAnswer&) {},
           [this](const peer::wire::PublishedRequest& request,
                  peer::wire::Published& response,
                  std::function<void()> done) {
             Hold(request, response, std::move(done));
           },
           [this](const peer::wire::RoutesRequest& request,
                  peer::wire::RoutesDocument& response) {
             SendRoutes(request, response);
           }}),
      fetch_(std::hash<std::string>{}(vms.self().vm)) {}

bool PeerExchange::Listen() {
  return server_.Listen(vms_.self().peer_address);
}

void PeerExchange::Stop() {
  stopped_ = true;
  for (const propagation::HeldRequests::Id id : held_.TakeAll()) {
    Respond(held_polls_.extract(id).mapped(), Now());
  }
  server_.Stop();
  client_.Stop();
}

const std::string* PeerExchange::AddressOf(const std::string& vm) const {
  const auto found = vms_.others().find(vm);
  return found == vms_.others().end() ? nullptr : &found->second.peer_address;
}

void PeerExchange::Hold(const peer::wire::PublishedRequest& request,
                        peer::wire::Published& response,
                        std::function<void()> done) {
  const TimePoint now = Now();
  const HeldPoll poll{&request, &response, std::move(done), now};
  if (stopped_ || held_polls_.size() >= kMaxHeldPolls) {
    Respond(poll, now);
    return;
  }
  vms_.Update({ReadPlace(request.sender())});
  propagation::RequesterState requester;
  requester.routes_version = request.routes_version();
  requester.targets_known_to = LogOffset{request.targets_from()};
  if (request.has_routes_age_ms()) {
    requester.current.Advance(Content::kRoutes,
                              AtAge(request.routes_age_ms(), now));
  }
  if (request.has_targets_age_ms()) {
    requester.current.Advance(Content::kTargets,
                              AtAge(request.targets_age_ms(), now));
  }
  const auto wait = std::min<Duration>(
      std::chrono::milliseconds(request.max_hold_ms()), kMaxWait);
  held_polls_[next_id_] = poll;
  held_.Add(next_id_, requester, now + wait);
  ++next_id_;
  on_request_();
}

void PeerExchange::RespondToHeld(TimePoint now) {
  const propagation::ProviderState provider{
      routes_.version(), targets_.records().changed_to(),
      targets_.records().complete_since(), current_};
  for (const propagation::HeldRequests::Id id : held_.TakeDue(provider, now)) {
    Respond(held_polls_.extract(id).mapped(), now);
  }
}

void PeerExchange::Respond(const HeldPoll& poll, TimePoint now) {
  peer::wire::Published& response = *poll.response;
  response.set_held_ms(static_cast<std::uint32_t>(
      (now - poll.received) / std::chrono::milliseconds(1)));
  response.set_routes_version(routes_.version());
  if (routes_.version() > poll.request->routes_version() &&
      routes_.compressed().size() <= kMaxRoutesInResponse) {
    response.set_routes(routes_.compressed());
  }
  if (const auto at = current_.Of(Content::kRoutes)) {
    response.set_routes_age_ms(AgeInMs(*at, now));
  }
  const auto targets_at = current_.Of(Content::kTargets);
  if (targets_at && targets_.next_offset()) {
    response.set_known(true);
    response.set_age_ms(AgeInMs(*targets_at, now));
    targets_.AddTo(response, LogOffset{poll.request->targets_from()});
  }
  if (poll.request->vms_known() < vms_.others().size()) {
    for (const auto& [name, endpoint] : vms_.others()) {
      WritePlace(endpoint, *response.add_vms());
    }
  }
  poll.done();
}

peer::wire::PublishedRequest PeerExchange::MakeRequest(
    const propagation::PollVm& poll,
    TimePoint now) {
  const Reported& reported = reported_[poll.vm];
  peer::wire::PublishedRequest request;
  WritePlace(vms_.self(), *request.mutable_sender());
  const auto known_to = targets_.next_offset();
  request.set_targets_from(known_to ? ToIndex(*known_to) : 0);
  request.set_routes_version(
      std::max(routes_.version(), reported.routes_version));
  request.set_vms_known(vms_.others().size());
  request.set_max_hold_ms(
      static_cast<std::uint32_t>(poll.wait / std::chrono::milliseconds(1)));
  // The other VM responds when it has more than this VM has, and more than it
  // reported before; the routes that it reported can still be on their way.
  CurrentTimes known = current_;
  for (const Content content : propagation::kContents) {
    if (const auto at = reported.current.Of(content)) {
      known.Advance(content, *at);
    }
  }
  if (const auto at = known.Of(Content::kRoutes)) {
    request.set_routes_age_ms(AgeInMs(*at, std::max(now, *at)));
  }
  if (const auto at = known.Of(Content::kTargets)) {
    request.set_targets_age_ms(AgeInMs(*at, std::max(now, *at)));
  }
  return request;
}

asio::awaitable<std::optional<PollResponse>> PeerExchange::Poll(
    propagation::PollVm poll) {
  const std::string* address = AddressOf(poll.vm);
  if (address == nullptr) {
    co_return std::nullopt;
  }
  const TimePoint requested_at = Now();
  const peer::wire::PublishedRequest request = MakeRequest(poll, requested_at);
  const auto published = co_await Call<peer::wire::Published>(
      io_, [&](peer::Client::PublishedCallback callback) {
        client_.FetchPublished(*address, request, poll.timeout,
                               std::move(callback));
      });
  if (!published) {
    co_return std::nullopt;
  }
  co_return Apply(poll.vm, *published, requested_at);
}

std::optional<PollResponse> PeerExchange::Apply(
    const std::string& vm,
    const peer::wire::Published& published,
    TimePoint requested_at) {
  // The response was sent at this instant at the earliest.
  const TimePoint sent_at =
      requested_at + std::chrono::milliseconds(published.held_ms());
  std::vector<VmEndpoint> endpoints;
  std::transform(published.vms().begin(), published.vms().end(),
                 std::back_inserter(endpoints), ReadPlace);
  vms_.Update(endpoints);
  ApplyRoutes(vm, published);
  PollResponse response;
  if (published.has_routes_age_ms()) {
    const TimePoint at = AtAge(published.routes_age_ms(), sent_at);
    response.provider.Advance(Content::kRoutes, at);
    if (routes_.version() >= published.routes_version()) {
      response.proved.Advance(Content::kRoutes, at);
    }
  }
  if (published.known()) {
    const TimePoint at = AtAge(published.age_ms(), sent_at);
    const auto before = current_.Of(Content::kTargets);
    targets_.RecordReadByOthers(before ? at - *before : Duration::max(), Now());
    if (!targets_.ApplyFromPeer(published)) {
      return std::nullopt;
    }
    response.provider.Advance(Content::kTargets, at);
    response.proved.Advance(Content::kTargets, at);
  }
  reported_[vm] = {published.routes_version(), response.provider};
  return response;
}

void PeerExchange::ApplyRoutes(const std::string& vm,
                               const peer::wire::Published& published) {
  if (!published.routes().empty()) {
    routes_.ApplyFromPeer(vm, published.routes());
  }
  fetch_.OnVersion(routes_.version());
  fetch_.OnAnnounced(vm, published.routes_version());
}

std::optional<std::string> PeerExchange::NextFetch(TimePoint now) {
  fetch_.OnVersion(routes_.version());
  return fetch_.Advance(now);
}

std::optional<TimePoint> PeerExchange::NextWake() const noexcept {
  const auto held = held_.NextDeadline();
  const auto fetch = fetch_.NextWake();
  return held && fetch ? std::min(held, fetch) : (held ? held : fetch);
}

asio::awaitable<void> PeerExchange::FetchRoutes(std::string vm) {
  const std::string* address = AddressOf(vm);
  if (address == nullptr) {
    fetch_.OnEnded(vm, false, Now());
    co_return;
  }
  peer::wire::RoutesRequest request;
  request.set_routes_version(routes_.version());
  request.set_sender(vms_.self().vm);
  const auto document = co_await Call<peer::wire::RoutesDocument>(
      io_, [&](peer::Client::RoutesCallback callback) {
        client_.FetchRoutes(*address, request, kFetchTimeout,
                            std::move(callback));
      });
  if (document && !document->routes().empty()) {
    routes_.ApplyFromPeer(vm, document->routes());
  }
  fetch_.OnVersion(routes_.version());
  if (document) {
    for (const std::string& holder : document->holders()) {
      if (AddressOf(holder) != nullptr) {
        fetch_.OnAnnounced(holder, document->version());
      }
    }
  }
  const bool has_document =
      document && (document->busy() || !document->routes().empty());
  fetch_.OnEnded(vm, has_document, Now());
}

void PeerExchange::SendRoutes(const peer::wire::RoutesRequest& request,
                              peer::wire::RoutesDocument& response) {
  const TimePoint now = Now();
  response.set_version(routes_.version());
  if (routes_.version() <= request.routes_version()) {
    return;
  }
  if (paced_version_ != routes_.version()) {
    paced_version_ = routes_.version();
    pacer_.Reset();
  }
  for (const std::string& holder : pacer_.Holders(now)) {
    response.add_holders(holder);
  }
  if (pacer_.TryStart(request.sender(), routes_.compressed().size(), now)) {
    response.set_routes(routes_.compressed());
  } else {
    response.set_busy(true);
  }
}

}  // namespace kingcupshed::daemon
