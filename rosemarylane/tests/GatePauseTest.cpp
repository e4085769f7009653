#include "GateFixture.h"

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

constexpr char Model[] = "model";
constexpr std::uint64_t Generation = 3;

core::Digest version() { return core::Digest::of("version"); }

/// The engine holds the model all the time.
class LoadedModel final : public WeightService {
public:
  void receive(const wire::Peer &, const wire::Envelope &) override {}
  const std::vector<ServedVersion> &served() const override { return Served; }
  void onServed(std::function<void()>) override {}
  void
  onReplace(std::function<void(const core::EntryName &, std::function<void()>)>)
      override {}
  bool engineCold() const override { return false; }
  std::vector<wire::Holding> holdings() const override {
    return std::vector<wire::Holding>(1);
  }
  void engineChanged() override {}

private:
  std::vector<ServedVersion> Served{
      {core::EntryName(Model), version(), Generation}};
};

/// The gate of an engine that answers when the test says so.
class Fixture : public GateFixture {
public:
  Fixture() : GateFixture(Model, std::make_unique<LoadedModel>()) {}

  std::future<wire::RunRefusal> send() {
    return sendFor(std::string(version().bytes()));
  }

  /// Waits until the engine has got \p Count requests since the start.
  bool engineHas(std::size_t Count) {
    auto Until = std::chrono::steady_clock::now() + Patience;
    while (std::chrono::steady_clock::now() < Until) {
      if (targetRequests() == Count)
        return true;
      std::this_thread::sleep_for(5ms);
    }
    return false;
  }

  wire::Holding holding() {
    wire::Holding Result;
    onControl([&] { Result = gate().holdings().at(0); });
    return Result;
  }
};

void checkRefused(std::future<wire::RunRefusal> Refusal,
                  std::uint32_t MinRetryAfterMs) {
  BOOST_REQUIRE(Refusal.wait_for(GateFixture::Patience) ==
                std::future_status::ready);
  wire::RunRefusal Told = Refusal.get();
  BOOST_TEST(Told.reason() == wire::REFUSAL_BUSY);
  BOOST_TEST(Told.ran() == wire::RAN_NO);
  BOOST_TEST(Told.retry_after_ms() >= MinRetryAfterMs);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(gate_pause, Fixture)

BOOST_AUTO_TEST_CASE(engine_that_names_a_time_is_sent_nothing_meanwhile) {
  // Sixty seconds, less what the test itself may take.
  constexpr std::uint32_t MinRetryAfterMs = 50000;
  auto Running = send();
  BOOST_REQUIRE(engineHas(1));
  auto Waiting = send();
  auto AlsoWaiting = send();
  refuseLast("60");
  checkRefused(std::move(Running), MinRetryAfterMs);
  // They would wait in vain.
  checkRefused(std::move(Waiting), MinRetryAfterMs);
  checkRefused(std::move(AlsoWaiting), MinRetryAfterMs);
  checkRefused(send(), MinRetryAfterMs);
  std::this_thread::sleep_for(100ms);
  BOOST_TEST(targetRequests() == 1u);
  wire::Holding Told = holding();
  BOOST_TEST(Told.credits() == 0u);
}

BOOST_AUTO_TEST_CASE(engine_is_used_again_when_its_time_is_over) {
  auto Running = send();
  BOOST_REQUIRE(engineHas(1));
  refuseLast("1");
  checkRefused(std::move(Running), 1);
  checkRefused(send(), 1);
  std::this_thread::sleep_for(1100ms);
  auto Later = send();
  BOOST_TEST(engineHas(2));
  BOOST_TEST(holding().credits() == 0u);
  refuseLast("0");
  checkRefused(std::move(Later), 1);
  BOOST_TEST(holding().credits() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
