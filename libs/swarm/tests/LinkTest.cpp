/// Tests link sharing and pacing: token bucket, class share, upload queue
/// and slow-link throttle.

#include "Generators.h"
#include "swarm/ClassShare.h"
#include "swarm/InboundPacing.h"
#include "swarm/SlowLink.h"
#include "swarm/TokenBucket.h"
#include "swarm/UploadQueue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane;
using namespace std::chrono_literals;
using core::TimePoint;
using swarm::UploadAnswer;

namespace {

/// Late enough that `TimePoint()`, which stands for an event that never
/// happened, lies far in the past.
const TimePoint Start = TimePoint() + 1h;
constexpr std::uint64_t ChunkBytes = 1000;

swarm::Upload makeUpload(const std::string &To, const core::Digest &Chunk,
                         bool FromReader = false) {
  return {core::HostId(To), core::Digest::of("v"),        Chunk,     1,
          ChunkBytes,       core::TrafficClass::Standard, FromReader};
}

} // namespace

BOOST_AUTO_TEST_SUITE(link_sharing)

BOOST_AUTO_TEST_CASE(
    paced_traffic_keeps_to_the_rate_and_waits_for_unpaced_traffic) {
  BOOST_TEST(rc::check([] {
    constexpr std::uint64_t Rate = 100000;
    constexpr std::uint64_t Burst = 2 * ChunkBytes;
    swarm::TokenBucket Link(Rate, Burst);
    std::uint64_t PacedBytes = 0;
    std::uint64_t UnpacedBytes = 0;
    TimePoint Now = Start;
    for (int Step = 0; Step < 300; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 30));
      auto Bytes = *rc::gen::inRange<std::uint64_t>(0, ChunkBytes);
      Link.take(Bytes, Now);
      UnpacedBytes += Bytes;
      if (Link.ready(Now)) {
        Link.take(ChunkBytes, Now);
        PacedBytes += ChunkBytes;
      }
      // Paced traffic uses at most the rate and the burst, plus one chunk.
      double Passed = std::chrono::duration<double>(Now - Start).count();
      double Allowed = Passed * Rate + Burst + ChunkBytes;
      RC_ASSERT(static_cast<double>(PacedBytes) <=
                std::max(Allowed, static_cast<double>(ChunkBytes)));
      if (static_cast<double>(UnpacedBytes) > Allowed)
        RC_ASSERT(!Link.ready(Now));
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_bucket_without_a_rate_is_always_ready) {
  swarm::TokenBucket Link(0, 0);
  Link.take(1 << 30, Start);
  BOOST_TEST(Link.ready(Start));
}

BOOST_AUTO_TEST_CASE(versions_share_by_class) {
  swarm::ClassShare Share;
  core::Digest High = core::Digest::of("high");
  core::Digest Low = core::Digest::of("low");
  double HighBytes = 0;
  double LowBytes = 0;
  for (int I = 0; I < 500; ++I)
    if (Share.startTag(High) <= Share.startTag(Low)) {
      Share.charge(High, core::TrafficClass::Interactive, ChunkBytes);
      HighBytes += ChunkBytes;
    } else {
      Share.charge(Low, core::TrafficClass::Batch, ChunkBytes);
      LowBytes += ChunkBytes;
    }
  double Expected = swarm::ClassShare::weight(core::TrafficClass::Interactive) /
                    swarm::ClassShare::weight(core::TrafficClass::Batch);
  BOOST_TEST(HighBytes / LowBytes == Expected,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(a_new_version_gets_no_credit_for_past_time) {
  swarm::ClassShare Share;
  core::Digest Old = core::Digest::of("old");
  core::Digest New = core::Digest::of("new");
  for (int I = 0; I < 100; ++I)
    Share.charge(Old, core::TrafficClass::Standard, ChunkBytes);
  int Consecutive = 0;
  while (Share.startTag(New) < Share.startTag(Old)) {
    Share.charge(New, core::TrafficClass::Standard, ChunkBytes);
    ++Consecutive;
  }
  BOOST_TEST(Consecutive <= 2);
}

BOOST_AUTO_TEST_CASE(readers_are_served_first_and_excess_requests_are_refused) {
  auto Chunks = swarm::testing::makeDigests(10);
  swarm::UploadSettings Settings;
  swarm::UploadQueue Queue(Settings);
  auto Offer = [&](const std::string &To, std::size_t C, bool FromReader) {
    return Queue.offer(makeUpload(To, Chunks[C], FromReader), true, false,
                       100 * ChunkBytes, Start);
  };
  for (std::size_t I = 0; I < Settings.MaxQueuedPeerRequests; ++I)
    BOOST_TEST(
        (Offer("n" + std::to_string(I), I, false) == UploadAnswer::Accepted));
  BOOST_TEST((Offer("late", 5, false) == UploadAnswer::Busy));
  BOOST_TEST((Offer("reader", 6, true) == UploadAnswer::Queued));
  BOOST_TEST(Queue.next()->To.str() == "reader");
  BOOST_TEST(Queue.next()->To.str() == "n0");
}

BOOST_AUTO_TEST_CASE(a_queued_request_is_served_once_its_chunk_is_stored) {
  auto Chunks = swarm::testing::makeDigests(2);
  swarm::UploadQueue Queue((swarm::UploadSettings()));
  auto Request = makeUpload("reader", Chunks[0], true);
  BOOST_TEST((Queue.offer(Request, false, true, ChunkBytes, Start) ==
              UploadAnswer::Queued));
  // Requested again after a timeout: one reply, with the newer id.
  Request.RequestId = 2;
  Queue.offer(Request, false, true, ChunkBytes, Start);
  BOOST_TEST(!Queue.next().has_value());
  Queue.stored(Chunks[0]);
  BOOST_TEST(Queue.next()->RequestId == 2u);
  BOOST_TEST(!Queue.next().has_value());
}

BOOST_AUTO_TEST_CASE(a_host_uploads_about_one_copy) {
  constexpr std::size_t Count = 100;
  auto Chunks = swarm::testing::makeDigests(Count);
  swarm::UploadSettings Settings;
  swarm::UploadQueue Queue(Settings);
  std::size_t Sent = 0;
  auto RequestAll = [&](const std::string &To, TimePoint Now) {
    for (const core::Digest &Chunk : Chunks)
      if (Queue.offer(makeUpload(To, Chunk), true, false, Count * ChunkBytes,
                      Now) == UploadAnswer::Accepted) {
        Queue.next();
        ++Sent;
      }
  };
  RequestAll("first", Start);
  RequestAll("second", Start);
  RequestAll("third", Start);
  BOOST_TEST(static_cast<double>(Sent) <= Settings.MaxCopies * Count);
  BOOST_TEST(Sent >= Count);
  // A host that joins late is still served, at a low rate.
  std::size_t Before = Sent;
  for (std::size_t I = 0; I < Count; ++I)
    RequestAll("late", Start + (I + 1) * Settings.OverLimitInterval);
  BOOST_TEST(Sent - Before == Count);
  // After an idle time the record of uploads is cleared.
  Before = Sent;
  RequestAll("later", Start + 100 * Settings.UploadRecordTimeout);
  BOOST_TEST(Sent - Before >= Count);
}

// A refund beyond the burst was lost, so that each pull was charged 1.5 times.
BOOST_AUTO_TEST_CASE(pulls_one_after_the_other_get_the_whole_rate) {
  constexpr int Pulls = 100;
  constexpr std::uint64_t Rate = 10 * ChunkBytes;
  const auto TransferTime = std::chrono::milliseconds(100);
  swarm::InboundPacing Inbound(Rate, ChunkBytes / 2);
  TimePoint Now = Start;
  for (int Pull = 0; Pull < Pulls; ++Pull) {
    while (!Inbound.pullAllowed(Now))
      Now += std::chrono::milliseconds(1);
    Inbound.pullStarted(ChunkBytes, Now);
    Now += TransferTime;
    Inbound.pullEnded(ChunkBytes, ChunkBytes, Now);
  }
  BOOST_TEST((Now - Start <= (Pulls + 1) * TransferTime));
}

// Guards against pulls that wait for chunks that never came. While the origin
// was away, each read that brought nothing took a chunk's time of the link;
// pulls then waited for up to 3.5 s.
BOOST_AUTO_TEST_CASE(requests_that_bring_nothing_do_not_delay_pulls) {
  swarm::InboundPacing Inbound(/*BytesPerSecond=*/10 * ChunkBytes, ChunkBytes);
  TimePoint Now = Start;
  for (int Read = 0; Read < 40; ++Read)
    Inbound.readEnded(/*Received=*/0, Now += std::chrono::milliseconds(50));
  BOOST_TEST(Inbound.pullAllowed(Now));
  for (int Pull = 0; Pull < 40; ++Pull) {
    Inbound.pullStarted(ChunkBytes, Now);
    Inbound.pullEnded(ChunkBytes, /*Received=*/0, Now);
  }
  BOOST_TEST(Inbound.pullAllowed(Now));
  for (int Read = 0; Read < 3; ++Read)
    Inbound.readEnded(ChunkBytes, Now);
  BOOST_TEST(!Inbound.pullAllowed(Now));
  BOOST_TEST(Inbound.pullAllowed(Now + std::chrono::milliseconds(300)));
}

// Guards against chunk fetches that fill a host's link when its rate drops to
// an eighth while weights are distributed. A slow transfer must reduce fetches
// to one at a time, with pauses, until a fast one shows that the link has
// recovered.
BOOST_AUTO_TEST_CASE(a_slow_link_carries_one_chunk_at_a_time_with_pauses) {
  swarm::SlowLink Throttle(700ms);
  BOOST_TEST(!Throttle.shouldWait(4, Start));
  Throttle.recordTransfer(900ms, Start);
  BOOST_TEST(Throttle.shouldWait(1, Start + 1s));
  BOOST_TEST(Throttle.shouldWait(0, Start + 800ms));
  BOOST_TEST(!Throttle.shouldWait(0, Start + 900ms));
  Throttle.recordTransfer(200ms, Start + 2s);
  BOOST_TEST(!Throttle.shouldWait(3, Start + 2s));
}

BOOST_AUTO_TEST_SUITE_END()
