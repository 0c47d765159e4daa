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

/// Reference implementation of the queues: one list in order of arrival.
class ReferenceQueues {
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

  /// Returns the next call of a rank: the oldest, or the newest when the queue
  /// is overloaded.
  [[nodiscard]] CallId Next(Rank rank, TimePoint now) const {
    std::vector<QueuedCall> calls;
    for (const Entry& entry : entries_) {
      if (entry.rank == rank) {
        calls.push_back(entry.call);
      }
    }
    const QueuedCall& oldest = calls.front();
    const Duration allowed = oldest.deadline - oldest.arrived;
    const bool overloaded = now - oldest.arrived > allowed / 4;
    return overloaded ? calls.back().call : oldest.call;
  }

  void Remove(CallId call) {
    std::erase_if(entries_, [call](const Entry& entry) {
      return entry.call.call == call;
    });
  }

  /// Removes and returns the calls with a deadline before `min_deadline`,
  /// sorted by id.
  std::vector<CallId> TakeOverdue(TimePoint min_deadline) {
    std::vector<CallId> overdue;
    for (const Entry& entry : entries_) {
      if (entry.call.deadline < min_deadline) {
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

/// Serves `total` calls while the ranks set in `busy` always have waiting
/// calls.
/// @return Number of calls served of each rank.
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

BOOST_AUTO_TEST_CASE(EachRankGetsItsShare) {
  const auto served = ServeBusy({true, true, true}, 10000);
  BOOST_TEST(served[0] >= 5500);
  BOOST_TEST(served[1] >= 3000);
  BOOST_TEST(served[2] >= 1000);
}

BOOST_AUTO_TEST_CASE(UnusedShareGoesToLowerRanks) {
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

BOOST_AUTO_TEST_CASE(QueuesAgreeWithTheReference) {
  const bool passed =
      rc::check("queues agree with the reference implementation", [] {
        RankQueues queues;
        queues.Configure(MakeShares());
        ReferenceQueues reference;
        TimePoint now = kStart;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
          now += milliseconds(*rc::gen::inRange(0, 5));
          const Rank rank =
              kRanks[*rc::gen::inRange<std::size_t>(0, kRankCount)];
          const int operation = *rc::gen::inRange(0, 4);
          if (operation <= 1) {
            const QueuedCall call{
                CallId{static_cast<std::uint64_t>(step)}, now,
                now + milliseconds(*rc::gen::inRange(1, 100))};
            queues.Push(rank, call);
            reference.Push(rank, call);
          } else if (operation == 2 && queues.size(rank) > 0) {
            const CallId next = queues.Front(rank, now).call;
            RC_ASSERT(next == reference.Next(rank, now));
            queues.Pop(rank, now);
            reference.Remove(next);
          } else if (operation == 3) {
            std::vector<CallId> overdue;
            for (const QueuedCall& call :
                 queues.TakeOverdue(now, milliseconds(2))) {
              overdue.push_back(call.call);
            }
            std::sort(overdue.begin(), overdue.end());
            RC_ASSERT(overdue == reference.TakeOverdue(now + milliseconds(2)));
          }
          for (const Rank each : kRanks) {
            RC_ASSERT(queues.size(each) == reference.Calls(each).size());
          }
        }
      });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::admission
