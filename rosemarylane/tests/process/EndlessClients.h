#ifndef ROSEMARYLANE_TESTS_PROCESS_ENDLESS_CLIENTS_H
#define ROSEMARYLANE_TESTS_PROCESS_ENDLESS_CLIENTS_H

#include "ChildProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

// Clients that send what is no whole request and never ends, to any address at
// which a process listens, and what the process holds meanwhile.

namespace rosemarylane::process_tests {

/// Bytes that never become a request, or never end it.
struct EndlessRequest {
  const char *Name;
  /// Follows the head fields that are common to all; sent once.
  std::string Start;
  /// Sent after `Start` again and again.
  std::string Endless;
};

std::ostream &operator<<(std::ostream &Out, const EndlessRequest &Request);

/// @return every way to send without end: in the head, between chunks, after
/// the body, and behind a request.
const std::vector<EndlessRequest> &endlessRequests();

/// @return \p Times whole requests for \p Path, to be sent without a wait for
/// their answers.
std::string pipelined(const std::string &Path, std::size_t Times);

/// What all clients of one test may send, and for how long; whichever ends
/// first.
struct EndlessBounds {
  std::size_t Clients = 4;
  std::size_t BytesEach = 16 << 20;
  std::chrono::milliseconds Time{8000};
};

/// Connections on which the same bytes are sent side by side. One thread.
class EndlessClients {
public:
  /// @param ReceiveBuffer what each takes before it reads; as the system likes
  /// if 0.
  EndlessClients(const std::string &Address, std::size_t Count,
                 int ReceiveBuffer = 0);

  /// Sends until every connection is closed by the process or a bound is met.
  /// @param Head the first bytes of the request, up to the fields that
  /// \p Request adds.
  void send(const std::string &Head, const EndlessRequest &Request,
            const EndlessBounds &Bounds);

  /// Sends \p Bytes once on each connection, as far as the process takes them
  /// until \p Limit is over.
  void sendOnce(const std::string &Bytes, std::chrono::milliseconds Limit);

  /// Closes all connections with a reset.
  void reset();

  /// Reads what has come. @return of how many connections the answer begins
  /// with \p Status.
  std::size_t answered(unsigned Status);

  /// @return how many connections the process has ended.
  std::size_t ended() const;

private:
  struct Client {
    explicit Client(boost::asio::io_context &Loop) : Socket(Loop) {}
    boost::asio::ip::tcp::socket Socket;
    std::size_t Sent = 0;
    bool Ended = false;
    /// The first bytes of what was read.
    std::string Received;
  };

  /// Writes what fits without a wait. @return whether any byte did.
  static bool offer(Client &To, const std::string &Start,
                    const std::string &Endless, std::size_t MaxBytes);

  boost::asio::io_context Loop;
  std::vector<std::unique_ptr<Client>> Clients;
};

/// @return the most memory that the process has held so far.
std::size_t peakMemoryKiB(ChildProcess &Process);
/// Waits until the process has taken all that it takes of what was sent.
/// @return the most memory that it has held so far.
std::size_t settledMemoryKiB(ChildProcess &Process);
/// @return the memory that the process holds now.
std::size_t memoryKiB(ChildProcess &Process);
/// @return what the connections of the whole machine hold that no process has
/// taken, those of the tests included.
std::size_t socketMemoryKiB();
/// @return the number of descriptors that the process has open.
std::size_t openDescriptors(ChildProcess &Process);
/// Waits until the process has accepted all connections that it accepts.
/// @return the number of descriptors that it has open then.
std::size_t settledDescriptors(ChildProcess &Process);

} // namespace rosemarylane::process_tests

#endif // ROSEMARYLANE_TESTS_PROCESS_ENDLESS_CLIENTS_H
