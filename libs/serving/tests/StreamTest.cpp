#include "serving/EventSplitter.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <rapidcheck.h>

using rosemarylane::serving::comesAfter;
using rosemarylane::serving::EventBoundary;
using rosemarylane::serving::EventSequence;
using rosemarylane::serving::EventSplitter;
using rosemarylane::serving::firstEventSize;
using rosemarylane::serving::holdsEvent;

BOOST_AUTO_TEST_SUITE(event_splitter)

BOOST_AUTO_TEST_CASE(only_whole_events_pass_however_the_bytes_are_cut) {
  BOOST_TEST(rc::check([] {
    std::string Stream;
    int Events = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Events; ++I)
      Stream += "id: " + std::to_string(I) + "\ndata: x\n\n";
    std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Stream.size() + 1);
    EventSplitter Splitter;
    std::string Out;
    for (std::size_t At = 0; At < Cut;) {
      std::size_t Size =
          std::min(Cut - At, *rc::gen::inRange<std::size_t>(1, 9));
      Out += Splitter.feed(std::string_view(Stream).substr(At, Size));
      At += Size;
    }
    RC_ASSERT(Stream.starts_with(Out));
    RC_ASSERT(Out.empty() || Out.ends_with("\n\n"));
    RC_ASSERT(Out.size() + Splitter.pendingBytes() == Cut);
    if (Cut == Stream.size())
      RC_ASSERT(Splitter.lastEventId() == std::to_string(Events - 1));
  }));
}

BOOST_AUTO_TEST_CASE(events_are_taken_apart_one_by_one) {
  BOOST_TEST(rc::check([] {
    std::string Stream;
    int Events = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Events; ++I) {
      if (*rc::gen::arbitrary<bool>())
        Stream += ": comment\r\n\r\n";
      Stream += "id: " + std::to_string(I) + "\ndata: x\n\n";
    }
    std::string_view Rest = Stream;
    for (int I = 0; I < Events; ++I) {
      std::string_view First = Rest.substr(0, firstEventSize(Rest));
      EventSequence Single;
      Single.append(First);
      RC_ASSERT(Single.lastId() == std::to_string(I));
      RC_ASSERT(holdsEvent(First));
      Rest.remove_prefix(First.size());
    }
    RC_ASSERT(Rest.empty());
  }));
  BOOST_TEST(!holdsEvent(": comment\n\n\r\n"));
  BOOST_TEST(comesAfter("10", "9"));
  BOOST_TEST(!comesAfter("9", "9"));
  BOOST_TEST(!comesAfter("b", "a"));
}

BOOST_AUTO_TEST_CASE(reads_ids_with_carriage_returns) {
  EventSplitter Splitter;
  Splitter.feed("id: 12\r\ndata: a\r\n\r\n");
  BOOST_TEST(Splitter.lastEventId() == "12");
}

BOOST_AUTO_TEST_CASE(
    an_incomplete_event_is_discarded_before_the_stream_is_resumed) {
  EventSplitter Splitter;
  Splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
  Splitter.beginResponse();
  BOOST_TEST(Splitter.lastEventId() == "1");
  BOOST_TEST(Splitter.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(only_events_that_continue_a_resumed_stream_pass) {
  auto Resumed = [](std::string_view Before, std::string_view Events) {
    EventSplitter Splitter;
    Splitter.feed(Before);
    Splitter.beginResponse();
    std::string LastId = Splitter.lastEventId();
    std::string Out = Splitter.feed(Events);
    BOOST_TEST(Splitter.diverged() == Out.empty());
    BOOST_TEST(
        (Out.empty() ? Splitter.lastEventId() == LastId : Out == Events));
    return !Out.empty();
  };
  const std::string ByOne = "id: 1\n\nid: 2\n\n";
  BOOST_TEST(Resumed(ByOne, "id: 3\ndata: a\n\n"));
  BOOST_TEST(Resumed(ByOne, ": comment\r\n\r\nid: 3\r\n\r\n"));
  BOOST_TEST(!Resumed(ByOne, "id: 1\n\n"));
  BOOST_TEST(!Resumed(ByOne, "id: 2\n\n"));
  BOOST_TEST(!Resumed(ByOne, "id: 4\n\n"));
  BOOST_TEST(!Resumed(ByOne, "id: 3\n\nid: 3\n\n"));
  BOOST_TEST(!Resumed(ByOne, "data: a\n\nid: 3\n\n"));
  BOOST_TEST(!Resumed(ByOne, "id: x\n\nid: x\n\n"));
  const std::string ByMore = "id: 3\n\nid: 9\n\n";
  BOOST_TEST(Resumed(ByMore, "id: 10\n\nid: 14\n\n"));
  BOOST_TEST(!Resumed(ByMore, "id: 8\n\n"));
  BOOST_TEST(Resumed("id: 1\n\n", "id: 3\n\n"));
  BOOST_TEST(Resumed("id: a\n\n", "id: b\n\n"));
  BOOST_TEST(!Resumed("id: a\n\n", "id: a\n\n"));
  // Without ids nothing tells.
  BOOST_TEST(Resumed("data: a\n\n", "data: a\n\n"));
}

BOOST_AUTO_TEST_CASE(stream_is_resumable_where_its_last_event_has_an_id) {
  EventSplitter Splitter;
  BOOST_TEST(Splitter.resumable());
  Splitter.feed(": comment\n\n");
  BOOST_TEST(Splitter.resumable());
  Splitter.feed("data: a\n\n");
  BOOST_TEST(!Splitter.resumable());
  Splitter.feed(": comment\n\n");
  BOOST_TEST(!Splitter.resumable());
  Splitter.feed("id: 1\n\n: comment\n\ndata: b");
  BOOST_TEST(Splitter.resumable());
  Splitter.feed("\n\n");
  BOOST_TEST(!Splitter.resumable());
}

// An id with a line end in it would have added header fields to the request
// that goes on with the stream.
BOOST_AUTO_TEST_CASE(stream_is_not_resumable_at_an_id_that_cannot_be_named) {
  EventSplitter Splitter;
  Splitter.feed("id: 1\rHost: b\n\n");
  BOOST_TEST(!Splitter.resumable());
  Splitter.feed("id: 2\n\n");
  BOOST_TEST(Splitter.resumable());
  Splitter.feed("id: " + std::string(70'000, '3') + "\n\n");
  BOOST_TEST(!Splitter.resumable());
}

BOOST_AUTO_TEST_CASE(events_that_do_not_continue_a_stream_end_it) {
  EventSplitter Splitter;
  Splitter.feed("id: 1\n\n");
  Splitter.beginResponse();
  Splitter.feed("id: 1\n\n");
  BOOST_TEST(Splitter.diverged());
  BOOST_TEST(Splitter.feed("id: 2\n\n").empty());
  Splitter.beginResponse();
  BOOST_TEST(!Splitter.diverged());
  BOOST_TEST(Splitter.feed("id: 2\n\n") == "id: 2\n\n");
}

BOOST_AUTO_TEST_CASE(passes_events_with_carriage_returns_however_cut) {
  const std::string Stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\r\n";
  for (std::size_t Size = 1; Size <= Stream.size(); ++Size) {
    EventSplitter Splitter;
    std::string Out;
    for (std::size_t At = 0; At < Stream.size(); At += Size)
      Out += Splitter.feed(std::string_view(Stream).substr(At, Size));
    BOOST_TEST(Out == Stream);
    BOOST_TEST(Splitter.lastEventId() == "2");
  }
}

BOOST_AUTO_TEST_CASE(tells_whether_a_stream_ends_inside_an_event) {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  const std::size_t FirstEnd = Stream.find("id: 2");
  for (std::size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    bool Whole = Cut == 0 || Cut == FirstEnd || Cut == Stream.size();
    EventSplitter Splitter;
    Splitter.feed(std::string_view(Stream).substr(0, Cut));
    BOOST_TEST(Splitter.insideEvent() == !Whole);
    EventBoundary Boundary;
    for (std::size_t At = 0; At < Cut; ++At)
      Boundary.feed(std::string_view(Stream).substr(At, 1));
    BOOST_TEST(Boundary.insideEvent() == !Whole);
  }
}

BOOST_AUTO_TEST_CASE(an_event_in_small_parts_takes_time_by_its_size) {
  // The event loop serves nobody else meanwhile.
  constexpr std::size_t EventBytes = 1 << 20;
  constexpr std::size_t PartBytes = 64;
  constexpr std::chrono::milliseconds TimeLimit{200};
  const std::string Part(PartBytes, 'x');
  EventSplitter Splitter;
  auto Start = std::chrono::steady_clock::now();
  for (std::size_t Fed = 0; Fed < EventBytes; Fed += PartBytes)
    Splitter.feed(Part);
  auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST(Splitter.pendingBytes() == EventBytes);
  BOOST_TEST((Took < TimeLimit));
}

BOOST_AUTO_TEST_SUITE_END()
