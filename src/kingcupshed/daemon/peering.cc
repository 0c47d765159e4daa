#include "kingcupshed/daemon/peering.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "kingcupshed/log/log.h"
#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using membership::Envelope;
using membership::KnownVm;
using membership::VmState;
using timeline::HybridTime;

constexpr Duration kListInterval = std::chrono::seconds(1);
constexpr Duration kRoundCheck = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::seconds(1);

TimePoint SteadyNow() {
  return std::chrono::steady_clock::now();
}

std::uint64_t WallMilliseconds() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
}

membership::Config MakeConfig(Runtime& runtime) {
  membership::Config config;
  config.self.vm = runtime.vms.Intern(runtime.settings.vm);
  config.self.incarnation = WallMilliseconds();
  config.self.zone = runtime.settings.zone;
  config.self.peer_address = runtime.settings.peer_listen;
  config.seed =
      std::hash<std::string>{}(runtime.settings.vm) ^ config.self.incarnation;
  return config;
}

asio::awaitable<void> Sleep(asio::io_context& io, Duration duration) {
  asio::steady_timer timer(io, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

Peering::Peering(Runtime& runtime,
                 const platform::Client& platform,
                 PeeringHooks hooks)
    : runtime_(runtime),
      platform_(platform),
      hooks_(std::move(hooks)),
      membership_(MakeConfig(runtime)),
      client_(runtime.io),
      server_(runtime.io,
              {[this](const peer::wire::Gossip& request,
                      peer::wire::Gossip& answer) { Answer(request, answer); },
               [this](const peer::wire::KeptAnswerRequest& request,
                      peer::wire::KeptAnswer& answer) {
                 runtime_.recorder.clock().Observe(
                     HybridTime{request.clock()},
                     std::chrono::system_clock::now());
                 if (hooks_.find_cached_response) {
                   hooks_.find_cached_response(request, answer);
                 }
                 answer.set_clock(static_cast<std::uint64_t>(Now()));
               }}) {}

bool Peering::Start() {
  if (!server_.Listen(runtime_.settings.peer_listen)) {
    return false;
  }
  asio::co_spawn(runtime_.io, FollowVms(), asio::detached);
  asio::co_spawn(runtime_.io, RunRounds(), asio::detached);
  return true;
}

void Peering::BeginStop() {
  leaving_ = true;
}

void Peering::Stop() {
  server_.Stop();
  client_.Stop();
}

HybridTime Peering::Now() {
  return runtime_.recorder.clock().Next(std::chrono::system_clock::now());
}

void Peering::SeeDrainMark(TargetId target) {
  Send(membership_.OnDrainMark(target, Now()));
  ReportLeaving();
}

void Peering::SetTargetList(
    const std::vector<membership::ListedTarget>& targets,
    HybridTime read) {
  Send(membership_.SetTargetList(targets, read));
  ReportLeaving();
}

asio::awaitable<void> Peering::FollowVms() {
  for (;;) {
    if (const auto entries = co_await platform_.ListVms()) {
      std::vector<membership::ListedVm> vms;
      for (const platform::VmEntry& entry : *entries) {
        vms.push_back({runtime_.vms.Intern(entry.name), entry.zone,
                       entry.peer_address, entry.leaving});
      }
      membership_.SetVmList(vms, SteadyNow());
    }
    co_await Sleep(runtime_.io, kListInterval);
  }
}

asio::awaitable<void> Peering::RunRounds() {
  for (;;) {
    const auto newest = hooks_.newest_table();
    membership_.SetSelfState(leaving_,
                             newest ? newest->version : TableVersion{});
    Send(membership_.Tick(SteadyNow()));
    co_await Sleep(runtime_.io, kRoundCheck);
  }
}

void Peering::Send(const std::vector<Envelope>& envelopes) {
  for (const Envelope& envelope : envelopes) {
    const std::string address = AddressOf(runtime_.vms.NameOf(envelope.to));
    if (address.empty()) {
      continue;
    }
    peer::wire::Gossip gossip = ToWire(envelope.message);
    AddTable(envelope.to, gossip);
    if (hooks_.add_credit) {
      hooks_.add_credit(runtime_.vms.NameOf(envelope.to), gossip);
    }
    client_.Exchange(address, gossip, kCallTimeout,
                     [this](const peer::wire::Gossip* answer) {
                       if (answer != nullptr) {
                         Take(*answer);
                       }
                     });
  }
}

void Peering::Answer(const peer::wire::Gossip& request,
                     peer::wire::Gossip& answer) {
  Take(request);
  const VmId from = runtime_.vms.Intern(request.vm());
  answer = ToWire(membership_.MakeMessage(from));
  AddTable(from, answer);
  if (hooks_.add_credit) {
    hooks_.add_credit(request.vm(), answer);
  }
}

void Peering::Take(const peer::wire::Gossip& message) {
  runtime_.recorder.clock().Observe(HybridTime{message.clock()},
                                    std::chrono::system_clock::now());
  Send(membership_.HandleMessage(FromWire(message), Now(), SteadyNow()));
  ReportLeaving();
  TakeTable(message);
  if (hooks_.take_credit) {
    hooks_.take_credit(message);
  }
}

void Peering::TakeTable(const peer::wire::Gossip& message) {
  if (!message.has_table()) {
    return;
  }
  const auto newest = hooks_.newest_table();
  const TableVersion version{message.table().version()};
  if (!newest || version > newest->version) {
    hooks_.adopt_table({version, message.table().csv(),
                        LogOffset{message.table().next_offset()}});
  }
}

peer::wire::Gossip Peering::ToWire(const membership::Message& message) {
  peer::wire::Gossip gossip;
  gossip.set_vm(runtime_.settings.vm);
  gossip.set_incarnation(message.incarnation);
  gossip.set_clock(static_cast<std::uint64_t>(Now()));
  gossip.set_mark_sequence(message.mark_sequence);
  gossip.set_acknowledged_life(message.acknowledged_incarnation);
  gossip.set_mark_acknowledged(message.acknowledged_mark);
  for (const VmState& state : message.vms) {
    peer::wire::VmState& vm = *gossip.add_vms();
    vm.set_vm(runtime_.vms.NameOf(state.vm));
    vm.set_incarnation(state.incarnation);
    vm.set_heartbeat(state.heartbeat);
    vm.set_leaving(state.leaving);
    vm.set_table_version(ToIndex(state.table_version));
    vm.set_zone(state.zone);
    vm.set_peer_address(state.peer_address);
  }
  for (const membership::DrainMark& mark : message.marks) {
    peer::wire::DrainMark& drain = *gossip.add_drains();
    drain.set_target(runtime_.targets.NameOf(mark.target));
    drain.set_seen(static_cast<std::uint64_t>(mark.observed_at));
  }
  return gossip;
}

membership::Message Peering::FromWire(const peer::wire::Gossip& gossip) {
  membership::Message message;
  message.from = runtime_.vms.Intern(gossip.vm());
  message.incarnation = gossip.incarnation();
  message.mark_sequence = gossip.mark_sequence();
  message.acknowledged_incarnation = gossip.acknowledged_life();
  message.acknowledged_mark = gossip.mark_acknowledged();
  for (const peer::wire::VmState& vm : gossip.vms()) {
    message.vms.push_back({runtime_.vms.Intern(vm.vm()), vm.incarnation(),
                           vm.heartbeat(), vm.leaving(),
                           TableVersion{vm.table_version()}, vm.zone(),
                           vm.peer_address()});
  }
  for (const peer::wire::DrainMark& drain : gossip.drains()) {
    message.marks.push_back(
        {runtime_.targets.Intern(drain.target()), HybridTime{drain.seen()}});
  }
  return message;
}

void Peering::AddTable(VmId to, peer::wire::Gossip& gossip) {
  const auto newest = hooks_.newest_table();
  const auto known = membership_.vms().find(to);
  if (!newest || known == membership_.vms().end() ||
      known->second.state.heartbeat == 0 ||
      known->second.state.table_version >= newest->version) {
    return;
  }
  peer::wire::TableNews& news = *gossip.mutable_table();
  news.set_version(ToIndex(newest->version));
  news.set_csv(newest->csv);
  news.set_next_offset(ToIndex(newest->next));
}

void Peering::ReportLeaving() {
  for (const TargetId target : membership_.KnownTargets()) {
    const bool leaving = membership_.IsLeaving(target);
    bool& reported = reported_[target];
    if (reported == leaving) {
      continue;
    }
    reported = leaving;
    hooks_.set_leaving(target, leaving);
    timeline::Event event;
    event.part = "membership";
    event.kind = leaving ? "target_leaving" : "target_back";
    event.target = runtime_.targets.NameOf(target);
    runtime_.Record(std::move(event));
  }
}

std::string Peering::AddressOf(const std::string& vm) const {
  const auto id = runtime_.vms.Find(vm);
  if (!id) {
    return "";
  }
  const auto known = membership_.vms().find(*id);
  return known == membership_.vms().end() ? ""
                                          : known->second.state.peer_address;
}

std::string Peering::RenderPage() const {
  const auto render = [this](const VmState& state, const KnownVm& known) {
    json::object vm;
    vm["vm"] = runtime_.vms.NameOf(state.vm);
    vm["zone"] = state.zone;
    vm["peer_address"] = state.peer_address;
    vm["alive"] = known.alive;
    vm["listed"] = known.listed;
    vm["leaving"] = state.leaving || known.listed_as_leaving;
    vm["table_version"] = ToIndex(state.table_version);
    vm["incarnation"] = state.incarnation;
    vm["heartbeat"] = state.heartbeat;
    return vm;
  };
  KnownVm self;
  self.alive = true;
  self.listed = true;
  json::array vms{render(membership_.self(), self)};
  for (const auto& [id, known] : membership_.vms()) {
    vms.push_back(render(known.state, known));
  }
  json::array leaving;
  for (const TargetId target : membership_.KnownTargets()) {
    if (membership_.IsLeaving(target)) {
      leaving.push_back(json::string(runtime_.targets.NameOf(target)));
    }
  }
  json::object page;
  page["vm"] = runtime_.settings.vm;
  page["vms"] = std::move(vms);
  page["leaving_targets"] = std::move(leaving);
  return json::serialize(page) + "\n";
}

}  // namespace kingcupshed::daemon
