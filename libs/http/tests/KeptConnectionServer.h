#ifndef ROSEMARYLANE_HTTP_TESTS_KEPT_CONNECTION_SERVER_H
#define ROSEMARYLANE_HTTP_TESTS_KEPT_CONNECTION_SERVER_H

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace rosemarylane {

/// A server that writes bytes as they are given, and keeps its connections.
/// Requests have no body. Each connection has a thread of its own.
class KeptConnectionServer {
public:
  /// @param OnConnection number of the request on its connection, from 1.
  /// @return the bytes to write; the connection is closed if there are none.
  using Behaviour =
      std::function<std::string(const std::string &Head, int OnConnection)>;

  explicit KeptConnectionServer(Behaviour Serve)
      : Serve(std::move(Serve)),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Accepting([this] { accept(); }) {}

  ~KeptConnectionServer() {
    // Wakes the blocked accept.
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Accepting.join();
    for (const auto &Connection : Connections)
      ::shutdown(Connection->native_handle(), SHUT_RDWR);
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// @return the number of connections that are open.
  int open() const { return Open; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void accept() {
    for (;;) {
      auto Connection = std::make_shared<Socket>(Context);
      boost::system::error_code Failed;
      Acceptor.accept(*Connection, Failed);
      if (Failed)
        return;
      Connections.push_back(Connection);
      Threads.emplace_back([this, Connection] {
        ++Open;
        serve(*Connection);
        --Open;
        ::shutdown(Connection->native_handle(), SHUT_RDWR);
      });
    }
  }

  void serve(Socket &Connection) {
    boost::system::error_code Failed;
    std::string Received;
    for (int Requests = 1; !Failed; ++Requests) {
      std::size_t Size = boost::asio::read_until(
          Connection, boost::asio::dynamic_buffer(Received), "\r\n\r\n",
          Failed);
      if (Failed)
        return;
      std::string Answer;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Answer = Serve(Received.substr(0, Size), Requests);
      }
      if (Answer.empty())
        return;
      Received.erase(0, Size);
      boost::asio::write(Connection, boost::asio::buffer(Answer), Failed);
    }
  }

  Behaviour Serve;
  std::atomic<int> Open{0};
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::mutex Mutex;
  std::vector<std::shared_ptr<Socket>> Connections;
  std::vector<std::thread> Threads;
  std::thread Accepting;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_HTTP_TESTS_KEPT_CONNECTION_SERVER_H
