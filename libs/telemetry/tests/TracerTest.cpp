#include "telemetry/Tracer.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::telemetry;

BOOST_AUTO_TEST_SUITE(tracer)

BOOST_AUTO_TEST_CASE(traceparent_round_trip) {
  std::string Header =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  BOOST_TEST(TraceContext::fromHeader(Header).header() == Header);
}

BOOST_AUTO_TEST_CASE(malformed_traceparent_starts_a_new_trace) {
  auto Context = TraceContext::fromHeader("00-xyz");
  BOOST_TEST(Context.TraceId.size() == 32);
  BOOST_TEST(Context.SpanId.empty());
}

BOOST_AUTO_TEST_CASE(spans_of_one_request_share_its_trace) {
  std::string Exported;
  {
    auto T = Tracer::start("entry", "host-1",
                           [&](std::string Json) { Exported += Json; });
    auto Outer = Tracer::open("admit", TraceContext::fromHeader(""));
    auto Inner = Tracer::open("dispatch", Outer.Context);
    BOOST_TEST(Inner.Context.TraceId == Outer.Context.TraceId);
    BOOST_TEST(Inner.ParentSpanId == Outer.Context.SpanId);
    T->close(Inner);
    T->close(Outer);
  }
  BOOST_TEST(Exported.find("\"dispatch\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
