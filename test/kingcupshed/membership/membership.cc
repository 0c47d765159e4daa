#include "kingcupshed/membership/membership.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "support/promise.h"

namespace kingcupshed::membership {

namespace {

using std::chrono::milliseconds;
using timeline::HybridTime;

constexpr TargetId kTarget{7};
constexpr Duration kStep = milliseconds(100);

HybridTime HybridAt(TimePoint now) {
  const auto millis =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  return HybridTime{static_cast<std::uint64_t>(millis.count()) << 16U};
}

Config MakeConfig(std::uint32_t vm, std::uint64_t seed) {
  Config config;
  config.self.vm = VmId{vm};
  config.self.incarnation = 1;
  config.self.zone = vm % 2 == 0 ? "a" : "b";
  config.self.peer_address = "vm-" + std::to_string(vm);
  config.seed = seed * 64 + vm;
  return config;
}

/// Faults of one history.
struct Faults {
  std::uint32_t vms = 16;
  std::uint32_t seed = 1;
  Duration list_lag{};
  bool list_down = false;
  std::uint32_t loss_percent = 0;
  std::uint32_t frozen = 0;
};

/// Several VMs under a fake clock, with delays, losses and frozen VMs.
class Fleet {
 public:
  explicit Fleet(const Faults& faults) : faults_(faults), random_(faults.seed) {
    for (std::uint32_t vm = 0; vm < faults.vms; ++vm) {
      cores_.emplace_back(MakeConfig(vm, faults.seed));
      list_.push_back({VmId{vm}, vm % 2 == 0 ? "a" : "b",
                       "vm-" + std::to_string(vm), false});
    }
    for (Membership& core : cores_) {
      core.SetVmList(list_, now_);
    }
  }

  void Step() {
    now_ += kStep;
    ++steps_;
    // A VM that wakes may start work before it reads its messages.
    works_ = AnyWouldSend();
    Deliver();
    for (std::uint32_t vm = 0; vm < faults_.vms; ++vm) {
      if (IsFrozen(vm)) {
        continue;
      }
      if (!faults_.list_down && steps_ % 10 == vm % 10) {
        const bool leaving = WasLeaving(now_ - faults_.list_lag);
        Send(cores_[vm].SetTargetList({{kTarget, leaving}}, HybridAt(now_)));
      }
      Send(cores_[vm].Tick(now_));
    }
    works_ = works_ || AnyWouldSend();
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      Step();
    }
  }

  /// The target's state changes, and only one VM is told of a drain.
  void SetLeaving(bool leaving, std::uint32_t witness) {
    changes_.push_back({now_, leaving});
    if (leaving) {
      Send(cores_[witness].OnDrainMark(kTarget, HybridAt(now_)));
    }
  }

  void Freeze(std::uint32_t vm, TimePoint until) {
    if (frozen_until_.size() < faults_.vms) {
      frozen_until_.resize(faults_.vms);
    }
    frozen_until_[vm] = until;
  }

  [[nodiscard]] bool IsFrozen(std::uint32_t vm) const {
    return vm < frozen_until_.size() && now_ < frozen_until_[vm];
  }

  /// Returns whether a VM would start new work at the target now.
  [[nodiscard]] bool WouldSend(std::uint32_t vm) const {
    return !IsFrozen(vm) && cores_[vm].IsCurrent(now_) &&
           !cores_[vm].IsLeaving(kTarget);
  }

  /// Returns whether any VM would have started new work during the last step.
  [[nodiscard]] bool works() const { return works_; }

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Membership& core(std::uint32_t vm) { return cores_[vm]; }
  [[nodiscard]] std::size_t messages() const { return messages_; }

 private:
  struct InFlight {
    TimePoint due;
    Envelope envelope;
    bool is_request = true;
  };
  struct Change {
    TimePoint at;
    bool leaving = false;
  };

  [[nodiscard]] bool AnyWouldSend() const {
    for (std::uint32_t vm = 0; vm < faults_.vms; ++vm) {
      if (WouldSend(vm)) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] bool WasLeaving(TimePoint at) const {
    bool leaving = false;
    for (const Change& change : changes_) {
      leaving = change.at <= at ? change.leaving : leaving;
    }
    return leaving;
  }

  void Send(const std::vector<Envelope>& envelopes, bool is_request = true) {
    for (const Envelope& envelope : envelopes) {
      ++messages_;
      if (random_() % 100 >= faults_.loss_percent) {
        in_flight_.push_back(
            {now_ + milliseconds(random_() % 60), envelope, is_request});
      }
    }
  }

  void Deliver() {
    std::vector<InFlight> due;
    std::erase_if(in_flight_, [&](const InFlight& item) {
      const bool ready =
          item.due <= now_ && !IsFrozen(ToIndex(item.envelope.to));
      if (ready) {
        due.push_back(item);
      }
      return ready;
    });
    std::shuffle(due.begin(), due.end(), random_);
    for (const InFlight& item : due) {
      Membership& core = cores_[ToIndex(item.envelope.to)];
      const VmId from = item.envelope.message.from;
      Send(core.HandleMessage(item.envelope.message, HybridAt(now_), now_));
      if (item.is_request) {
        Send({{from, core.MakeMessage(from)}}, false);
      }
    }
  }

  Faults faults_;
  std::mt19937 random_;
  std::vector<Membership> cores_;
  std::vector<ListedVm> list_;
  std::vector<InFlight> in_flight_;
  std::vector<Change> changes_;
  std::vector<TimePoint> frozen_until_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint32_t steps_ = 0;
  bool works_ = false;
  std::size_t messages_ = 0;
};

Faults DrawFaults() {
  Faults faults;
  faults.vms = *rc::gen::inRange<std::uint32_t>(2, 17);
  faults.seed = *rc::gen::arbitrary<std::uint32_t>();
  faults.list_lag = milliseconds(*rc::gen::inRange(0, 25'000));
  faults.list_down = *rc::gen::arbitrary<bool>();
  faults.loss_percent = *rc::gen::inRange<std::uint32_t>(0, 11);
  faults.frozen = *rc::gen::inRange<std::uint32_t>(0, faults.vms);
  return faults;
}

/// Returns the latest new work after a target's mark, over all VMs.
Duration LatestWork(Fleet& fleet, Duration watched) {
  const TimePoint marked = fleet.now();
  Duration latest{};
  while (fleet.now() - marked < watched) {
    fleet.Step();
    if (fleet.works()) {
      latest = fleet.now() - marked;
    }
  }
  return latest;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(MembershipTest)

BOOST_AUTO_TEST_CASE(EveryVmHearsOfEveryOther) {
  Fleet fleet({});
  fleet.Run(std::chrono::seconds(6));
  for (std::uint32_t vm = 0; vm < 16; ++vm) {
    for (const auto& [id, known] : fleet.core(vm).vms()) {
      BOOST_TEST(known.alive);
    }
    BOOST_TEST(fleet.core(vm).vms().size() == 15);
  }
}

BOOST_AUTO_TEST_CASE(SilentVmIsSuspectedAndRecovers) {
  Fleet fleet({});
  fleet.Run(std::chrono::seconds(6));
  fleet.Freeze(3, fleet.now() + std::chrono::seconds(20));
  fleet.Run(std::chrono::seconds(12));
  BOOST_TEST(!fleet.core(0).vms().at(VmId{3}).alive);
  fleet.Run(std::chrono::seconds(14));
  BOOST_TEST(fleet.core(0).vms().at(VmId{3}).alive);
  // The VM that stood still did not take its own pause for their silence.
  BOOST_TEST(fleet.core(3).vms().at(VmId{0}).alive);
}

BOOST_AUTO_TEST_CASE(ReturnedTargetIsUsedOnceTheListMustHaveCaughtUp) {
  Faults faults;
  faults.list_lag = std::chrono::seconds(5);
  Fleet fleet(faults);
  fleet.Run(std::chrono::seconds(2));
  fleet.SetLeaving(true, 0);
  fleet.Run(std::chrono::seconds(40));
  BOOST_TEST(!fleet.WouldSend(5));
  fleet.SetLeaving(false, 0);
  fleet.Run(std::chrono::seconds(7));
  for (std::uint32_t vm = 0; vm < 16; ++vm) {
    BOOST_TEST(fleet.WouldSend(vm));
  }
}

BOOST_AUTO_TEST_CASE(MarkFromTheFutureIsCutToTheOwnClock) {
  Membership core(MakeConfig(0, 1));
  Message message;
  message.from = VmId{1};
  message.marks.push_back(
      {kTarget, HybridAt(TimePoint(std::chrono::hours(9)))});
  const TimePoint now(std::chrono::hours(1));
  core.HandleMessage(message, HybridAt(now), now);
  BOOST_TEST(core.IsLeaving(kTarget));
  core.SetTargetList({{kTarget, false}},
                     HybridAt(now + std::chrono::seconds(31)));
  BOOST_TEST(!core.IsLeaving(kTarget));
}

BOOST_AUTO_TEST_CASE(MessagesStaySmallInAQuietFleet) {
  Fleet fleet({});
  fleet.Run(std::chrono::seconds(10));
  const std::size_t before = fleet.messages();
  fleet.Run(std::chrono::seconds(10));
  // Two requests and their answers a second from each of 16 VMs.
  BOOST_TEST(fleet.messages() - before <= 16U * 4U * 10U);
  BOOST_TEST(fleet.core(0).MakeMessage(VmId{1}).vms.size() <= 16U);
  BOOST_TEST(fleet.core(0).MakeMessage(VmId{1}).marks.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Promise5)

BOOST_AUTO_TEST_CASE(LeavingTargetGetsNoNewWorkAfterThreeSeconds) {
  support::CheckPromise(5, "leaving target gets no new work", [] {
    const Faults faults = DrawFaults();
    Fleet fleet(faults);
    fleet.Run(std::chrono::seconds(3));
    const std::uint32_t witness = faults.seed % faults.vms;
    for (std::uint32_t i = 0; i < faults.frozen; ++i) {
      const std::uint32_t vm = (witness + 1 + i) % faults.vms;
      if (vm != witness) {
        fleet.Freeze(vm, fleet.now() + milliseconds(500 + 900 * i));
      }
    }
    fleet.SetLeaving(true, witness);
    const Duration latest = LatestWork(fleet, std::chrono::seconds(20));
    RC_ASSERT(latest <= std::chrono::seconds(3));
  });
}

BOOST_AUTO_TEST_CASE(SecondDrainWithinTheListsLagHolds) {
  support::CheckPromise(5, "second drain within the list's lag", [] {
    Faults faults = DrawFaults();
    faults.list_down = false;
    faults.frozen = 0;
    Fleet fleet(faults);
    fleet.Run(std::chrono::seconds(3));
    fleet.SetLeaving(true, 0);
    fleet.Run(milliseconds(*rc::gen::inRange(0, 20'000)));
    fleet.SetLeaving(false, 0);
    fleet.Run(milliseconds(*rc::gen::inRange(0, 20'000)));
    fleet.SetLeaving(true, faults.vms - 1);
    const Duration latest = LatestWork(fleet, std::chrono::seconds(40));
    RC_ASSERT(latest <= std::chrono::seconds(3));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::membership
