#include "http/Client.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <optional>
#include <poll.h>

using namespace rosemarylane;
using namespace rosemarylane::http;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr auto Patience = 5s;
constexpr auto Deadline = 100ms;
/// More than the smallest receive buffer holds.
constexpr std::size_t RequestBytes = 8 << 10;
constexpr char LastBytes[] = "end of the request";

/// A server that accepts connections but reads nothing until it is told to.
class LateReader {
public:
  LateReader() : Acceptor(Context) {
    tcp::endpoint Any(boost::asio::ip::make_address("127.0.0.1"), 0);
    Acceptor.open(Any.protocol());
    // Accepted sockets inherit it; the system rounds it up to its smallest.
    Acceptor.set_option(boost::asio::socket_base::receive_buffer_size(1));
    Acceptor.bind(Any);
    Acceptor.listen();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Whether a connection waits to be accepted.
  bool connected() { return readable(Acceptor.native_handle(), 50ms); }

  /// Accepts a connection and waits until bytes wait on it to be read.
  void awaitFirstBytes() {
    BOOST_REQUIRE(readable(Acceptor.native_handle(), Patience));
    Accepted = Acceptor.accept();
    BOOST_REQUIRE(readable(Accepted->native_handle(), Patience));
  }

  /// @return all that arrives on the accepted or else the next connection until
  /// it ends.
  std::string readAll() {
    tcp::socket Socket = Accepted ? std::move(*Accepted) : Acceptor.accept();
    Accepted.reset();
    std::string All;
    boost::system::error_code Error;
    std::array<char, 4096> Buffer{};
    while (!Error)
      All.append(Buffer.data(),
                 Socket.read_some(boost::asio::buffer(Buffer), Error));
    return All;
  }

private:
  static bool readable(int Socket, std::chrono::milliseconds Within) {
    pollfd Waiting{Socket, POLLIN, 0};
    return poll(&Waiting, 1, static_cast<int>(Within.count())) > 0;
  }

  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::optional<tcp::socket> Accepted;
};

struct Fixture {
  std::shared_ptr<Client::Call> start(Deadlines Limits,
                                      std::size_t Bytes = RequestBytes) {
    std::string Body(Bytes, 'x');
    Body += LastBytes;
    return Caller->fetch(Server.address(), {"POST", "/", {}, Body}, Limits,
                         [this](auto End) { Done.set_value(std::move(End)); });
  }

  /// Holds the client's duty up as in a process that is frozen for a while.
  void freezePastDeadline() {
    ClientDuty->postAlways([] { std::this_thread::sleep_for(3 * Deadline); });
  }

  /// Starts a request and freezes before the duty can see its connection made:
  /// tasks posted on the duty itself run before it looks at its sockets.
  void startAndFreezePastDeadline(const Deadlines &Limits) {
    ClientDuty->postAlways([this, Limits] {
      start(Limits);
      freezePastDeadline();
    });
  }

  /// Returns once the freeze has begun.
  void freezeFor(std::chrono::milliseconds Time) {
    std::promise<void> Begun;
    ClientDuty->postAlways([&Begun, Time] {
      Begun.set_value();
      std::this_thread::sleep_for(Time);
    });
    Begun.get_future().wait();
  }

  void checkEnded(Error::Kind Expected) {
    auto Outcome = Done.get_future();
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    auto Answer = Outcome.get();
    BOOST_REQUIRE(!Answer);
    BOOST_TEST((Answer.error().What == Expected));
  }

  void checkNeverArrivesWhole() {
    std::string Arrived = Server.readAll();
    BOOST_TEST(Arrived.size() < RequestBytes);
    BOOST_TEST((Arrived.find(LastBytes) == std::string::npos));
  }

  std::promise<core::Result<Response, Error>> Done;
  LateReader Server;
  std::unique_ptr<runtime::Duty> ClientDuty =
      runtime::Duty::start("client", 64, nullptr);
  std::unique_ptr<Client> Caller = Client::create(*ClientDuty);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(given_up_request, Fixture)

BOOST_AUTO_TEST_CASE(cancelled_request_is_withdrawn) {
  auto Call = start({});
  std::this_thread::sleep_for(Deadline);
  Call->cancel();
  checkEnded(Error::Kind::Cancelled);
  checkNeverArrivesWhole();
}

BOOST_AUTO_TEST_CASE(timed_out_request_is_withdrawn) {
  Deadlines FirstByte;
  FirstByte.FirstByte = Deadline;
  start(FirstByte);
  checkEnded(Error::Kind::Interrupted);
  checkNeverArrivesWhole();
}

BOOST_AUTO_TEST_CASE(request_past_its_total_deadline_is_withdrawn) {
  Deadlines Total;
  Total.Total = Deadline;
  start(Total);
  checkEnded(Error::Kind::Interrupted);
  checkNeverArrivesWhole();
}

BOOST_AUTO_TEST_CASE(request_of_a_destroyed_client_is_withdrawn) {
  start({});
  std::this_thread::sleep_for(Deadline);
  Caller.reset();
  checkNeverArrivesWhole();
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_a_deadline_that_passed_unseen) {
  Deadlines OfConnect;
  OfConnect.Connect = Deadline;
  Deadlines OfAll;
  OfAll.Total = Deadline;
  for (const Deadlines &Limits : {OfConnect, OfAll}) {
    Done = {};
    startAndFreezePastDeadline(Limits);
    checkEnded(Error::Kind::NotSent);
    // A connection that was never made cannot be accepted.
    BOOST_TEST((!Server.connected() || Server.readAll().empty()));
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_a_wait_for_the_duty) {
  Deadlines Limits;
  Limits.Total = Deadline;
  freezePastDeadline();
  start(Limits);
  checkEnded(Error::Kind::NotSent);
  BOOST_TEST(!Server.connected());
}

BOOST_AUTO_TEST_CASE(write_does_not_go_on_after_its_deadline_passed_unseen) {
  Deadlines Limits;
  Limits.Idle = 4 * Deadline;
  start(Limits, 64 << 20);
  // The client falls still in the middle of its write.
  Server.awaitFirstBytes();
  freezeFor(8 * Deadline);
  auto Arrived =
      std::async(std::launch::async, [&] { return Server.readAll(); });
  checkEnded(Error::Kind::Interrupted);
  BOOST_TEST((Arrived.get().find(LastBytes) == std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()
