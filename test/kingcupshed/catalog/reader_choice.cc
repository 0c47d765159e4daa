#include "kingcupshed/catalog/reader_choice.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::catalog {

namespace {

using std::chrono::seconds;

const std::vector<std::string> kVms{"a", "b", "c", "d", "e"};
constexpr TimePoint kStart{seconds(100)};

std::vector<ReaderChoice> MakeChoices() {
  std::vector<ReaderChoice> choices;
  for (const std::string& vm : kVms) {
    choices.emplace_back(vm).SetVms(kVms);
  }
  return choices;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Readers)

BOOST_AUTO_TEST_CASE(OneVmReadsForAllThatAgree) {
  int readers = 0;
  for (const ReaderChoice& choice : MakeChoices()) {
    readers += choice.IsReader(kStart) ? 1 : 0;
  }
  BOOST_TEST(readers == 1);
}

BOOST_AUTO_TEST_CASE(ReadsAloneWithoutOthers) {
  ReaderChoice choice("a");
  BOOST_TEST(choice.IsReader(kStart));
  choice.SetVms({"a"});
  BOOST_TEST(choice.IsReader(kStart));
}

BOOST_AUTO_TEST_CASE(AsksTheNextWhenTheFirstIsSilent) {
  for (ReaderChoice& choice : MakeChoices()) {
    const auto first = choice.Candidates(kStart);
    if (first.empty()) {
      continue;
    }
    choice.Doubt(first.front(), kStart);
    const auto next = choice.Candidates(kStart);
    BOOST_TEST((next.empty() || next.front() != first.front()));
    const auto later = choice.Candidates(kStart + seconds(4));
    BOOST_REQUIRE(!later.empty());
    BOOST_TEST(later.front() == first.front());
  }
}

BOOST_AUTO_TEST_CASE(ReadsItselfWhenAllAreDoubted) {
  for (ReaderChoice& choice : MakeChoices()) {
    for (const std::string& vm : kVms) {
      choice.Doubt(vm, kStart);
    }
    BOOST_TEST(choice.IsReader(kStart));
  }
}

// The store may refuse single VMs; the first of all had nobody to ask then.
BOOST_AUTO_TEST_CASE(AsksThoseBehindItWhenItsOwnReadsFail) {
  for (std::size_t at = 0; at < kVms.size(); ++at) {
    ReaderChoice choice(kVms[at]);
    choice.SetVms(kVms);
    choice.Doubt(kVms[at], kStart);
    BOOST_TEST(choice.DoubtsSelf(kStart));
    BOOST_TEST(choice.Candidates(kStart).size() == 2U);
    BOOST_TEST(!choice.IsReader(kStart));
    choice.Trust(kVms[at]);
    BOOST_TEST(!choice.DoubtsSelf(kStart));
  }
}

BOOST_AUTO_TEST_CASE(ReadsForAWhileOnceAsked) {
  for (ReaderChoice& choice : MakeChoices()) {
    if (choice.IsReader(kStart)) {
      continue;
    }
    choice.NoteAsked(kStart);
    BOOST_TEST(choice.IsReader(kStart + seconds(2)));
    BOOST_TEST(!choice.IsReader(kStart + seconds(4)));
  }
}

BOOST_AUTO_TEST_CASE(DoubtsAVmLongerEachTime) {
  for (ReaderChoice& choice : MakeChoices()) {
    const auto first = choice.Candidates(kStart);
    if (first.empty()) {
      continue;
    }
    choice.Doubt(first.front(), kStart);
    choice.Doubt(first.front(), kStart);
    const auto later = choice.Candidates(kStart + seconds(4));
    BOOST_TEST((later.empty() || later.front() != first.front()));
    choice.Trust(first.front());
    BOOST_TEST(choice.Candidates(kStart).front() == first.front());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::catalog
