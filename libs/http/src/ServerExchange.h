#ifndef ROSEMARYLANE_HTTP_SERVER_EXCHANGE_H
#define ROSEMARYLANE_HTTP_SERVER_EXCHANGE_H

#include "ServerConnection.h"

namespace rosemarylane::http {

/// The handler's view of one request on a connection; passes every call on to
/// the duty.
class ServerExchange : public Exchange,
                       public std::enable_shared_from_this<ServerExchange> {
public:
  ServerExchange(std::shared_ptr<ServerConnection> Connection, std::uint64_t Id,
                 Request Received)
      : Connection(std::move(Connection)), Id(Id),
        Received(std::move(Received)) {}
  ~ServerExchange() override;

  const Request &request() const override { return Received; }
  std::uint64_t connection() const override { return Connection->number(); }
  void respond(Response Whole) override;
  void startStream(ResponseHead Head) override;
  void write(std::string Part) override;
  void finish() override;
  void abort() override;
  std::size_t backlog() const override;
  void onGone(std::function<void()> Hook) override;

  /// The connection closed first. On the duty.
  void gone();

private:
  std::shared_ptr<ServerConnection> Connection;
  std::uint64_t Id;
  Request Received;
  /// Bytes handed over that the duty has not yet taken.
  std::shared_ptr<std::atomic<std::size_t>> InTransit =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::atomic<bool> Ended{false};
  /// Both belong to the duty.
  std::function<void()> GoneHook;
  bool Gone = false;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_SERVER_EXCHANGE_H
