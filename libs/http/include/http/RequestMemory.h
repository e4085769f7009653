#ifndef ROSEMARYLANE_HTTP_REQUEST_MEMORY_H
#define ROSEMARYLANE_HTTP_REQUEST_MEMORY_H

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <set>
#include <utility>

namespace rosemarylane::http {

/// Bounds what the requests and answers of all connections of a process hold
/// together.
///
/// A request in progress keeps what it holds, and one that has come whole
/// begins only if there is room for it. Beside them, whoever holds most of a
/// request that has not come whole is evicted. Answers that are whole, and not
/// yet taken by their callers, have half as much for themselves; whoever has
/// taken nothing for longest is evicted. So ordinary callers are the last to be
/// refused. Not thread-safe.
class RequestMemory {
public:
  /// Fits the smallest machine of a gateway, see docs/CAPACITY.md.
  static constexpr std::size_t DefaultBytes = 32 << 20;

  explicit RequestMemory(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}
  RequestMemory(const RequestMemory &) = delete;
  RequestMemory &operator=(const RequestMemory &) = delete;

  /// What one request, or one answer, holds. The account outlives it.
  class Share {
  public:
    /// @param Evict called when what is unfinished or unread has to be freed,
    /// within a call for any share. The share holds nothing any more then.
    Share(RequestMemory &Of, std::function<void()> Evict = nullptr)
        : Of(Of), Evict(std::move(Evict)) {}
    ~Share() { release(); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Holds \p Bytes of a request that has not come whole. May evict any
    /// share, this one included.
    void setUnfinished(std::size_t Bytes);
    /// Holds \p Bytes of a request that has come whole and begins now, if
    /// there is room.
    /// @return false if there is none; the share then holds nothing.
    bool tryBegin(std::size_t Bytes);
    /// Holds \p Bytes for a request in progress, whether or not there is room.
    void setInProgress(std::size_t Bytes);
    /// Holds \p Bytes of an answer that the caller has not taken. May evict any
    /// share, this one included.
    void setUnread(std::size_t Bytes);
    /// The caller has taken some of its answer; \p Bytes are left.
    void setTaken(std::size_t Bytes);
    void release();

  private:
    friend class RequestMemory;
    enum Kind { Unfinished, InProgress, Unread };

    void hold(Kind NewKind, std::size_t NewBytes);

    RequestMemory &Of;
    std::function<void()> Evict;
    Kind Now = Unfinished;
    std::size_t Bytes = 0;
    /// Valid while something is unread.
    std::list<Share *>::iterator Position;
  };

  /// @return whether a request of \p Bytes may begin now. One request takes at
  /// most half of what is free, unless nothing is in progress: smaller ones
  /// still find room beside those that are large.
  bool hasRoom(std::size_t Bytes) const;

  /// @return what all shares hold.
  std::size_t total() const { return Sums[0] + Sums[1] + Sums[2]; }

private:
  void makeRoom();
  std::size_t maxUnread() const { return MaxBytes / 2; }
  static void evict(Share &S);

  std::size_t MaxBytes;
  /// By kind.
  std::array<std::size_t, 3> Sums{};
  /// The shares with an unfinished request, the largest last.
  std::set<std::pair<std::size_t, Share *>> UnfinishedShares;
  /// The shares with an unread answer, the longest unread first.
  std::list<Share *> UnreadShares;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_REQUEST_MEMORY_H
