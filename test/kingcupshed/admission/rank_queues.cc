#include "kingcupshed/admission/rank_queues.h"

#include <algorithm>
#include <array>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::admission {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(1)};
constexpr std::array<bool, kRankCount> kAllAllowed{true, true, true};
constexpr Duration kSlotTime = milliseconds(10);

std::array<RankShare, kRankCount> MakeShares() {
  return {RankShare{6, 10}, RankShare{3, 10}, RankShare{1, 10}};
}

QueuedCall MakeCall(std::uint64_t id, TimePoint deadline) {
  return {CallId{id}, kStart, deadline};
}

/// The same queues, without any index: one list in order of arrival.
class NaiveQueues {
 public:
  struct Entry {
    Rank rank;
    QueuedCall call;
  };

  void Push(Rank rank, const QueuedCall& call) {
    entries_.push_back({rank, call});
  }

  [[nodiscard]] std::vector<CallId> Calls(Rank rank) const {
    std::vector<CallId> calls;
    for (const Entry& entry : entries_) {
      if (entry.rank == rank) {
        calls.push_back(entry.call.call);
      }
    }
    return calls;
  }

  /// Returns the next call of a rank: the oldest, or the newest in overload.
  [[nodiscard]] CallId Next(Rank rank, TimePoint now) const {
    std::vector<QueuedCall> calls;
    for (const Entry& entry : entries_) {
      if (entry.rank == rank) {
        calls.push_back(entry.call);
      }
    }
    const QueuedCall& oldest = calls.front();
    const Duration given = oldest.deadline - oldest.arrived;
    const bool late = now - oldest.arrived > given / 4;
    return late ? calls.back().call : oldest.call;
  }

  void Remove(CallId call) {
    std::erase_if(entries_, [call](const Entry& entry) {
      return entry.call.call == call;
    });
  }

  /// Removes and returns what cannot be answered any more, sorted.
  std::vector<CallId> TakeOverdue(TimePoint latest) {
    std::vector<CallId> overdue;
    for (const Entry& entry : entries_) {
      if (entry.call.deadline < latest) {
        overdue.push_back(entry.call.call);
      }
    }
    for (const CallId call : overdue) {
      Remove(call);
    }
    std::sort(overdue.begin(), overdue.end());
    return overdue;
  }

 private:
  std::vector<Entry> entries_;
};

/// Serves `total` calls while the ranks of `busy` always have calls waiting.
std::array<int, kRankCount> ServeBusy(std::array<bool, kRankCount> busy,
                                      int total) {
  RankQueues queues;
  queues.Configure(MakeShares());
  std::array<int, kRankCount> served{};
  std::uint64_t id = 0;
  for (int at = 0; at < total; ++at) {
    for (const Rank rank : kRanks) {
      while (busy[RankIndex(rank)] && queues.size(rank) < 3) {
        queues.Push(rank, MakeCall(id++, TimePoint::max()));
      }
    }
    const auto rank = queues.NextRank(kAllAllowed);
    if (!rank) {
      break;
    }
    ++served[RankIndex(*rank)];
    queues.Pop(*rank, kStart);
    queues.Charge(*rank, kSlotTime);
  }
  return served;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RankQueuesTest)

BOOST_AUTO_TEST_CASE(EachRankKeepsItsShare) {
  const auto served = ServeBusy({true, true, true}, 10000);
  BOOST_TEST(served[0] >= 5500);
  BOOST_TEST(served[1] >= 3000);
  BOOST_TEST(served[2] >= 1000);
}

BOOST_AUTO_TEST_CASE(UnusedShareFlowsDown) {
  const auto served = ServeBusy({false, false, true}, 1000);
  BOOST_TEST(served[2] == 1000);
  const auto two = ServeBusy({false, true, true}, 1000);
  BOOST_TEST(two[1] + two[2] == 1000);
  BOOST_TEST(two[2] >= 100);
  BOOST_TEST(two[1] >= 850);
}

BOOST_AUTO_TEST_CASE(UrgentGoesFirstWhileLowerRanksGetMoreThanTheirShare) {
  RankQueues queues;
  queues.Configure(MakeShares());
  std::uint64_t id = 0;
  for (int at = 0; at < 200; ++at) {
    queues.Push(Rank::kBulk, MakeCall(id++, TimePoint::max()));
    if (at % 4 == 0) {
      queues.Push(Rank::kUrgent, MakeCall(id++, TimePoint::max()));
      BOOST_TEST((queues.NextRank(kAllAllowed) == Rank::kUrgent));
    }
    const auto rank = queues.NextRank(kAllAllowed);
    queues.Pop(*rank, kStart);
    queues.Charge(*rank, kSlotTime);
  }
}

BOOST_AUTO_TEST_CASE(AgreesWithANaiveList) {
  const bool passed = rc::check("queues agree with a naive list", [] {
    RankQueues queues;
    queues.Configure(MakeShares());
    NaiveQueues naive;
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 5));
      const Rank rank = kRanks[*rc::gen::inRange<std::size_t>(0, kRankCount)];
      const int kind = *rc::gen::inRange(0, 4);
      if (kind <= 1) {
        const QueuedCall call{CallId{static_cast<std::uint64_t>(step)}, now,
                              now + milliseconds(*rc::gen::inRange(1, 100))};
        queues.Push(rank, call);
        naive.Push(rank, call);
      } else if (kind == 2 && queues.size(rank) > 0) {
        const CallId next = queues.Front(rank, now).call;
        RC_ASSERT(next == naive.Next(rank, now));
        queues.Pop(rank, now);
        naive.Remove(next);
      } else if (kind == 3) {
        std::vector<CallId> overdue;
        for (const QueuedCall& call :
             queues.TakeOverdue(now, milliseconds(2))) {
          overdue.push_back(call.call);
        }
        std::sort(overdue.begin(), overdue.end());
        RC_ASSERT(overdue == naive.TakeOverdue(now + milliseconds(2)));
      }
      for (const Rank each : kRanks) {
        RC_ASSERT(queues.size(each) == naive.Calls(each).size());
      }
    }
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::admission
