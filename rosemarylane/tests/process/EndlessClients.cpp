#include "EndlessClients.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rosemarylane::process_tests {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t BlockBytes = 16 << 10;
/// Reads of servers are mostly multiples of this.
constexpr std::size_t Alignment = 16;
constexpr std::chrono::milliseconds Pause{2};
/// The peak of a process stays the same for this long once it has settled.
constexpr std::chrono::milliseconds SettleTime{500};
constexpr std::chrono::milliseconds MaxSettleTime{6000};
constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &Text) {
  std::string Result;
  while (Result.size() < BlockBytes)
    Result += Text;
  return Result;
}

/// @return a figure of the process's status, in KiB; 0 if there is none.
std::size_t statusKiB(ChildProcess &Process, const std::string &Name) {
  std::ifstream Status("/proc/" + std::to_string(Process.pid()) + "/status");
  std::string Word;
  std::size_t KiB = 0;
  while (Status >> Word)
    if (Word == Name && Status >> KiB)
      return KiB;
  return 0;
}

/// Waits until \p Measure has given the same for \p SettleTime.
template <typename Measured> std::size_t settled(Measured Measure) {
  auto Until = Clock::now() + MaxSettleTime;
  std::size_t Value = Measure();
  for (auto Since = Clock::now();
       Clock::now() < Since + SettleTime && Clock::now() < Until;) {
    std::this_thread::sleep_for(Pause);
    std::size_t Now = Measure();
    if (Now != Value)
      Since = Clock::now();
    Value = Now;
  }
  return Value;
}

} // namespace

std::ostream &operator<<(std::ostream &Out, const EndlessRequest &Request) {
  return Out << Request.Name;
}

const std::vector<EndlessRequest> &endlessRequests() {
  static const std::vector<EndlessRequest> Result = {
      {"head_field", "X-More: ", repeated("a")},
      {"head_lines", "", repeated("X-More: more and more\r\n")},
      // Each read ends with a line, so that none is ever left over.
      {"aligned_head_lines", "", repeated("X-Aligned: 123\r\n")},
      {"shortest_head_lines", "", repeated("a:\r\n")},
      {"folded_line", "X-More: a\r\n", repeated(" and more\r\n")},
      {"chunk_size", Chunked, repeated("0")},
      {"chunk_extension", std::string(Chunked) + "1;", repeated("a")},
      {"extension_of_the_last_chunk", std::string(Chunked) + "1\r\na\r\n0;",
       repeated("a")},
      {"trailer_lines", std::string(Chunked) + "1\r\na\r\n0\r\n",
       repeated("X-More: more\r\n")},
      {"trailer_field",
       std::string(Chunked) + "1\r\na\r\n0\r\nX-More: ", repeated("a")},
      {"chunks", Chunked, repeated("4\r\nmore\r\n")},
      {"extension_of_each_chunk", Chunked,
       repeated("1;a=" + std::string(1000, 'a') + "\r\na\r\n")},
      {"body_over_the_limit", "Content-Length: 99999999999\r\n\r\n",
       repeated("a")},
      {"bytes_behind_a_request", "Content-Length: 4\r\n\r\nbody",
       repeated("a")},
  };
  return Result;
}

std::string pipelined(const std::string &Path, std::size_t Times) {
  std::string Result;
  for (std::size_t I = 0; I < Times; ++I)
    Result += "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  return Result;
}

EndlessClients::EndlessClients(const std::string &Address, std::size_t Count,
                               int ReceiveBuffer) {
  std::size_t Colon = Address.find(':');
  boost::asio::ip::tcp::endpoint To(
      boost::asio::ip::make_address(Address.substr(0, Colon)),
      static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  for (std::size_t I = 0; I < Count; ++I) {
    Clients.push_back(std::make_unique<Client>(Loop));
    boost::asio::ip::tcp::socket &Socket = Clients.back()->Socket;
    Socket.open(To.protocol());
    if (ReceiveBuffer != 0)
      Socket.set_option(
          boost::asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Socket.connect(To);
  }
}

bool EndlessClients::offer(Client &To, const std::string &Start,
                           const std::string &Endless, std::size_t MaxBytes) {
  if (To.Ended || To.Sent >= MaxBytes)
    return false;
  bool InStart = To.Sent < Start.size();
  const std::string &Bytes = InStart ? Start : Endless;
  std::size_t From =
      InStart ? To.Sent : (To.Sent - Start.size()) % Endless.size();
  std::size_t Size = std::min(Bytes.size() - From, MaxBytes - To.Sent);
  ssize_t Written = ::send(To.Socket.native_handle(), Bytes.data() + From, Size,
                           MSG_DONTWAIT | MSG_NOSIGNAL);
  if (Written < 0)
    To.Ended = errno != EAGAIN && errno != EINTR;
  else
    To.Sent += static_cast<std::size_t>(Written);
  return Written > 0;
}

void EndlessClients::send(const std::string &Head,
                          const EndlessRequest &Request,
                          const EndlessBounds &Bounds) {
  std::string Start = Head;
  // Pads the head, so that lines of the same length stay aligned.
  std::string Name = "X-Pad: ";
  std::size_t Used = (Start.size() + Name.size() + 2) % Alignment;
  Start += Name + std::string(Alignment - Used, 'p') + "\r\n" + Request.Start;
  auto Until = Clock::now() + Bounds.Time;
  while (Clock::now() < Until) {
    bool Progress = false;
    bool Finished = true;
    for (const auto &To : Clients) {
      Progress =
          offer(*To, Start, Request.Endless, Bounds.BytesEach) || Progress;
      Finished = Finished && (To->Ended || To->Sent >= Bounds.BytesEach);
    }
    if (Finished)
      return;
    if (!Progress)
      std::this_thread::sleep_for(Pause);
  }
}

void EndlessClients::sendOnce(const std::string &Bytes,
                              std::chrono::milliseconds Limit) {
  auto Until = Clock::now() + Limit;
  auto IsDone = [&](const std::unique_ptr<Client> &C) {
    return C->Ended || C->Sent >= Bytes.size();
  };
  for (const auto &To : Clients)
    To->Sent = 0;
  while (!std::all_of(Clients.begin(), Clients.end(), IsDone) &&
         Clock::now() < Until) {
    bool Progress = false;
    for (const auto &To : Clients)
      Progress = offer(*To, Bytes, Bytes, Bytes.size()) || Progress;
    if (!Progress)
      std::this_thread::sleep_for(Pause);
  }
}

void EndlessClients::reset() {
  boost::system::error_code Ignored; // It is closed either way.
  for (const auto &C : Clients) {
    C->Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    C->Socket.close(Ignored);
    C->Ended = true;
  }
}

std::size_t EndlessClients::answered(unsigned Status) {
  const std::string Line = "HTTP/1.1 " + std::to_string(Status) + " ";
  std::size_t Count = 0;
  for (const auto &C : Clients) {
    std::string Read(Line.size(), '\0');
    auto Size = ::recv(C->Socket.native_handle(), Read.data(), Read.size(),
                       MSG_DONTWAIT);
    if (Size > 0 && C->Received.size() < Line.size())
      C->Received.append(Read, 0, static_cast<std::size_t>(Size));
    Count += C->Received.starts_with(Line) ? 1 : 0;
  }
  return Count;
}

std::size_t EndlessClients::ended() const {
  auto Ended = [](const std::unique_ptr<Client> &C) {
    char Byte = 0;
    auto Size =
        ::recv(C->Socket.native_handle(), &Byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return C->Ended || Size == 0 || (Size < 0 && errno != EAGAIN);
  };
  return static_cast<std::size_t>(
      std::count_if(Clients.begin(), Clients.end(), Ended));
}

std::size_t peakMemoryKiB(ChildProcess &Process) {
  return statusKiB(Process, "VmHWM:");
}

std::size_t memoryKiB(ChildProcess &Process) {
  return statusKiB(Process, "VmRSS:");
}

std::size_t settledMemoryKiB(ChildProcess &Process) {
  return settled([&] { return peakMemoryKiB(Process); });
}

std::size_t socketMemoryKiB() {
  const std::size_t PageKiB =
      static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024;
  std::ifstream Statistics("/proc/net/sockstat");
  std::string Word;
  bool IsTcp = false;
  std::size_t Pages = 0;
  while (Statistics >> Word) {
    if (Word.ends_with(':'))
      IsTcp = Word == "TCP:";
    if (IsTcp && Word == "mem" && Statistics >> Pages)
      return Pages * PageKiB;
  }
  return 0;
}

std::size_t openDescriptors(ChildProcess &Process) {
  std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Process.pid()) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(Files), std::filesystem::end(Files)));
}

std::size_t settledDescriptors(ChildProcess &Process) {
  return settled([&] { return openDescriptors(Process); });
}

} // namespace rosemarylane::process_tests
