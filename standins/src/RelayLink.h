#ifndef ROSEMARYLANE_STANDINS_RELAY_LINK_H
#define ROSEMARYLANE_STANDINS_RELAY_LINK_H

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace rosemarylane::standins {

/// The state of the line, shared by all links of a relay.
struct Line {
  bool Frozen = false;
  std::uint64_t BytesPerSecond = 0;
  std::chrono::milliseconds Delay{0};
  /// Bytes taken so far from the addresses that the relay leads to.
  std::atomic<std::uint64_t> ReturnedBytes{0};
  /// When each way is free again.
  std::array<std::chrono::steady_clock::time_point, 2> Free;
};

/// One connection through a relay; kept alive by its pending operations.
class RelayLink : public std::enable_shared_from_this<RelayLink> {
public:
  RelayLink(boost::asio::ip::tcp::socket Caller, std::shared_ptr<Line> Shared);

  void start(const boost::asio::ip::tcp::endpoint &To);
  void close();
  /// Passes no byte any more, and stays open.
  void silence() { Silent = true; }
  bool closed() const { return Closed; }

private:
  /// One way of the link.
  struct Way {
    explicit Way(const boost::asio::any_io_executor &On) : Timer(On) {}
    boost::asio::steady_timer Timer;
    std::array<char, 16 << 10> Buffer;
  };

  void read(std::size_t Index);
  void pass(std::size_t Index, std::size_t Bytes);
  void write(std::size_t Index, std::size_t Bytes);
  std::chrono::steady_clock::time_point due(std::size_t Index,
                                            std::size_t Bytes);

  boost::asio::ip::tcp::socket Caller;
  boost::asio::ip::tcp::socket Called;
  std::shared_ptr<Line> Shared;
  std::array<Way, 2> Ways;
  bool Silent = false;
  bool Closed = false;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_RELAY_LINK_H
