#ifndef ROSEMARYLANE_HTTP_TESTS_ONE_ANSWER_SERVER_H
#define ROSEMARYLANE_HTTP_TESTS_ONE_ANSWER_SERVER_H

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace rosemarylane {

/// A server that takes one connection, reads a request, writes bytes as they
/// are given and closes the connection.
class OneAnswerServer {
public:
  /// @param Reset whether to reset the connection instead of closing it.
  explicit OneAnswerServer(std::string Answer, bool Reset = false)
      : Answer(std::move(Answer)), Reset(Reset),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { run(); }) {}
  ~OneAnswerServer() {
    boost::asio::ip::tcp::socket Last(Context);
    boost::system::error_code Ignored;
    Last.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void run() {
    auto Socket = Acceptor.accept();
    std::array<char, 4096> Buffer{};
    boost::system::error_code Error;
    Socket.read_some(boost::asio::buffer(Buffer), Error);
    boost::asio::write(Socket, boost::asio::buffer(Answer), Error);
    if (!Reset)
      return;
    // What was written is to arrive before the reset.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    Socket.set_option(boost::asio::socket_base::linger(true, 0), Error);
    // The destructor would turn the option off.
    Socket.close(Error);
  }

  std::string Answer;
  bool Reset;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_HTTP_TESTS_ONE_ANSWER_SERVER_H
