#ifndef ROSEMARYLANE_HTTP_TESTS_ENDLESS_SERVER_H
#define ROSEMARYLANE_HTTP_TESTS_ENDLESS_SERVER_H

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace rosemarylane {

/// What an endless server sends after each request.
struct EndlessAnswer {
  /// Sent once.
  std::string Begin;
  /// Sent again and again until the caller closes.
  std::string Repeated;
  /// Pause after each repetition.
  std::chrono::milliseconds Pause{0};
};

/// A server whose answers never end: it sends until the caller closes the
/// connection, or until \p MaxBytes of one answer have been taken.
class EndlessServer {
public:
  static constexpr std::size_t MaxBytes = 256 << 20;

  explicit EndlessServer(EndlessAnswer Answer)
      : Answer(std::move(Answer)),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Address("127.0.0.1:" +
                std::to_string(Acceptor.local_endpoint().port())),
        Thread([this] { run(); }) {}

  ~EndlessServer() {
    Stopping = true;
    // Wakes the pending accept.
    boost::asio::ip::tcp::socket Last(Context);
    boost::system::error_code Ignored;
    Last.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  const std::string &address() const { return Address; }
  /// Bytes that callers or the sockets between have taken.
  std::size_t sent() const { return Sent; }
  /// Callers that closed their connection.
  int closed() const { return Closed; }

private:
  void run() {
    while (!Stopping) {
      auto Socket = Acceptor.accept();
      if (!Stopping)
        serve(Socket);
    }
  }

  void serve(boost::asio::ip::tcp::socket &Socket) {
    std::array<char, 4096> Buffer{};
    boost::system::error_code Error;
    Socket.read_some(boost::asio::buffer(Buffer), Error);
    Sent +=
        boost::asio::write(Socket, boost::asio::buffer(Answer.Begin), Error);
    while (!Error && !Stopping && Sent < MaxBytes) {
      Sent += boost::asio::write(Socket, boost::asio::buffer(Answer.Repeated),
                                 Error);
      std::this_thread::sleep_for(Answer.Pause);
    }
    Closed += Error ? 1 : 0;
  }

  EndlessAnswer Answer;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Address;
  std::atomic<std::size_t> Sent{0};
  std::atomic<int> Closed{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_HTTP_TESTS_ENDLESS_SERVER_H
