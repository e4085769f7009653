#include "http/ConnectionLimit.h"
#include "http/ConnectionShares.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <vector>

using namespace rosemarylane::http;

namespace {

constexpr std::size_t MaxConnections = 8;

/// Connections that know by themselves what they are doing.
struct Door {
  struct Connection {
    std::unique_ptr<ConnectionLimit::Place> Place;
    /// When it began to wait for a request; empty while one is in progress.
    std::optional<int> WaitsSince;
  };

  bool accept(int Now) {
    Closed = 0;
    if (!Limit.makeRoom())
      return false;
    auto C = std::make_shared<Connection>();
    C->WaitsSince = Now;
    C->Place = std::make_unique<ConnectionLimit::Place>(
        Limit, [this, Weak = std::weak_ptr(C)] {
          BOOST_REQUIRE(Weak.lock()->WaitsSince);
          BOOST_TEST(*Weak.lock()->WaitsSince == longestWait());
          std::erase(Open, Weak.lock());
          ++Closed;
        });
    Open.push_back(std::move(C));
    return true;
  }

  int longestWait() const {
    int Longest = std::numeric_limits<int>::max();
    for (const auto &C : Open)
      Longest = std::min(Longest, C->WaitsSince.value_or(Longest));
    return Longest;
  }

  bool allInProgress() const {
    return std::none_of(Open.begin(), Open.end(), [](const auto &C) {
      return C->WaitsSince.has_value();
    });
  }

  ConnectionLimit Limit{MaxConnections};
  std::vector<std::shared_ptr<Connection>> Open;
  int Closed = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(connection_limit)

BOOST_AUTO_TEST_CASE(whoever_waited_longest_makes_room_in_any_history) {
  std::mt19937 Random(20261207);
  Door At;
  for (int Now = 0; Now < 20000; ++Now) {
    std::size_t Before = At.Open.size();
    std::size_t Any = Before == 0 ? 0 : Random() % Before;
    switch (Random() % 4) {
    case 0: {
      bool IsFull = Before == MaxConnections;
      bool Refuses = IsFull && At.allInProgress();
      BOOST_REQUIRE(At.accept(Now) == !Refuses);
      BOOST_REQUIRE(At.Closed == (IsFull && !Refuses ? 1 : 0));
      break;
    }
    case 1:
      if (Before > 0 && At.Open[Any]->WaitsSince) {
        At.Open[Any]->Place->beginRequest();
        At.Open[Any]->WaitsSince.reset();
      }
      break;
    case 2:
      if (Before > 0 && !At.Open[Any]->WaitsSince) {
        bool IsLast = Random() % 2 == 0;
        if (IsLast)
          At.Open[Any]->Place->endLast();
        else
          At.Open[Any]->Place->endRequest();
        At.Open[Any]->WaitsSince = IsLast ? -Now : Now;
      }
      break;
    default:
      if (Before > 0 && Random() % 8 == 0) {
        At.Open[Any]->Place->leave();
        At.Open.erase(At.Open.begin() + static_cast<std::ptrdiff_t>(Any));
      }
    }
    BOOST_REQUIRE(At.Limit.open() == At.Open.size());
    BOOST_REQUIRE(At.Limit.open() <= MaxConnections);
  }
}

BOOST_AUTO_TEST_CASE(shares_leave_descriptors_to_files_and_own_connections) {
  for (std::size_t Descriptors = 64; Descriptors < 100'000; Descriptors += 7) {
    ConnectionShares Shares = ConnectionShares::of(Descriptors);
    std::size_t Sum = Shares.Callers + Shares.Peers + Shares.Readiness;
    BOOST_REQUIRE(Shares.Callers > 0);
    BOOST_REQUIRE(Shares.Readiness >= 4);
    BOOST_REQUIRE(Sum <= Descriptors * 3 / 4);
  }
}

BOOST_AUTO_TEST_SUITE_END()
