#ifndef ROSEMARYLANE_CTL_ADMIN_CLIENT_H
#define ROSEMARYLANE_CTL_ADMIN_CLIENT_H

#include "core/Result.h"
#include "http/Client.h"
#include "http/Message.h"
#include "runtime/Duty.h"

#include <memory>
#include <string>

namespace rosemarylane {

/// Calls the administration API of one entry and waits for the answer.
///
/// A change carries an id, so one whose answer was lost is sent again without
/// harm.
class AdminClient {
public:
  /// @param Server `IP:port` of an entry.
  AdminClient(std::string Server, std::string Token);
  ~AdminClient();

  /// @return the answer, whatever its status, or why there is none.
  core::Result<http::Response, std::string> get(const std::string &Resource);

  /// Sends a change.
  /// @param IfMatch the revision that it builds on; empty sends none.
  core::Result<http::Response, std::string>
  send(const std::string &Method, const std::string &Resource, std::string Body,
       const std::string &IfMatch = "");

private:
  core::Result<http::Response, std::string> call(const http::Request &Request);

  std::string Server;
  std::string Token;
  std::unique_ptr<runtime::Duty> Calling;
  std::unique_ptr<http::Client> Http;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_CTL_ADMIN_CLIENT_H
