#ifndef ROSEMARYLANE_HTTP_CONNECTION_LIMIT_H
#define ROSEMARYLANE_HTTP_CONNECTION_LIMIT_H

#include <cstddef>
#include <functional>
#include <list>

namespace rosemarylane::http {

/// Bounds the open connections of one listening address.
///
/// A new connection over the limit takes the place of the one that has waited
/// longest for a request, so that callers who send one find a connection while
/// others hold theirs. A connection whose request is in progress is never
/// closed. Not thread-safe.
class ConnectionLimit {
public:
  explicit ConnectionLimit(std::size_t MaxConnections)
      : MaxConnections(MaxConnections) {}
  ConnectionLimit(const ConnectionLimit &) = delete;
  ConnectionLimit &operator=(const ConnectionLimit &) = delete;

  /// The place of one open connection. The limit outlives it. It waits for a
  /// request from its creation on.
  class Place {
  public:
    /// @param Close called when the connection has to be closed, within
    /// `makeRoom`. The place is free already.
    Place(ConnectionLimit &Of, std::function<void()> Close);
    ~Place() { leave(); }
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

    /// A whole request has come and is in progress.
    void beginRequest();
    /// Waits for the next request.
    void endRequest();
    /// Nothing more is expected of the caller than its close: this connection
    /// makes room before any that waits.
    void endLast();
    /// The connection is closed. May be called again.
    void leave();

  private:
    friend class ConnectionLimit;
    enum class State { Waiting, InProgress, Left };

    void stopWaiting();

    ConnectionLimit &Of;
    std::function<void()> Close;
    State Now = State::Waiting;
    std::list<Place *>::iterator Position;
  };

  /// Closes the connection that has waited longest if there is no room for
  /// another one.
  /// @return whether there is room now; otherwise all have a request in
  /// progress.
  bool makeRoom();

  std::size_t open() const { return Open; }

private:
  std::size_t MaxConnections;
  std::size_t Open = 0;
  /// The connections that wait for a request, the longest wait first.
  std::list<Place *> Waiting;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_CONNECTION_LIMIT_H
