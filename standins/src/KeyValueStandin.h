#ifndef ROSEMARYLANE_STANDINS_KEY_VALUE_STANDIN_H
#define ROSEMARYLANE_STANDINS_KEY_VALUE_STANDIN_H

#include "http/Exchange.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane::standins {

/// The part of etcd v3's JSON gateway that the system uses, over a map in
/// memory. Keys and values stay in base64.
class KeyValueStandin {
public:
  using Exchange = std::shared_ptr<http::Exchange>;

  /// @return false if \p Call is not the service's.
  bool handle(const Exchange &Call, const boost::json::object &Body);

  /// Sends every watch a progress notice.
  void notifyProgress();

  /// Closes every watch's connection.
  void dropWatches();

  /// Takes a copy of what is stored.
  void copy();

  /// Puts the last copy in the place of what is stored: revisions go back and
  /// are given out again, the cluster id is another. Watches are closed.
  void restore();

  boost::json::object counters() const;

private:
  /// Cluster ids take all 64 bits.
  static constexpr std::uint64_t FirstClusterId = 14841639068965178418u;

  struct Record {
    std::string Key;
    std::string Value;
    std::int64_t CreateRevision = 0;
    std::int64_t ModRevision = 0;
    std::int64_t Version = 0;
  };
  struct Watcher {
    std::string Key;
    Exchange Call;
  };

  boost::json::object range(const boost::json::object &Body) const;
  boost::json::object put(const boost::json::object &Body);
  boost::json::object erase(const boost::json::object &Body);
  boost::json::object txn(const boost::json::object &Body);
  void watch(const Exchange &Call, const boost::json::object &Body);
  void send(Watcher &To, const std::vector<const Record *> &Changes);
  boost::json::object header() const;
  bool holds(const boost::json::object &Compare) const;
  static boost::json::object toJson(const Record &Stored);

  std::int64_t Revision = 1;
  std::map<std::string, Record> Records;
  std::int64_t CopiedRevision = 1;
  std::map<std::string, Record> CopiedRecords;
  std::uint64_t ClusterId = FirstClusterId;
  /// Every change, for watches that start in the past.
  std::vector<Record> History;
  std::list<Watcher> Watchers;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t WatchesOpened = 0;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_KEY_VALUE_STANDIN_H
