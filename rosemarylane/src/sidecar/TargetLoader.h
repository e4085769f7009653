#ifndef ROSEMARYLANE_SIDECAR_TARGET_LOADER_H
#define ROSEMARYLANE_SIDECAR_TARGET_LOADER_H

#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "serving/LoadProof.h"
#include "serving/StagedChunks.h"
#include "sidecar/ServedModel.h"
#include "sidecar/TargetWatch.h"
#include "sidecar/VersionChunks.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace rosemarylane {

/// Stages chunks at the host's target and orders it to load them.
///
/// The result of a load order is read from the target's state, so it is also
/// known if the response to the order is lost. Decides with
/// `serving::LoadProof` whether the target may get requests, and sets the
/// switching state of the `TargetWatch`. Lives as long as the `WeightKeeper`
/// that owns it, and longer than every call. Not thread-safe: used only on the
/// thread of the event loop.
class TargetLoader {
public:
  /// Returns whether a version is still the one to load.
  using PlannedHook = std::function<bool()>;

  TargetLoader(boost::asio::io_context &Loop, const NodeSettings &Settings,
               HttpClient &Calls, TargetWatch &Watch, const ServedModel &Served)
      : Loop(Loop), Settings(Settings), Calls(Calls), Watch(Watch),
        Served(Served) {}

  /// @return the version of the model that the target has loaded; 0 if it has
  /// none or does not respond.
  std::uint64_t loadedVersion() const;

  /// Takes a state of the target, and sets whether it may get requests. Call it
  /// only while the model is known; a new model is judged from this state on.
  /// @param From when the call that read it began.
  void observe(const platform::TargetState &State, core::BootTime From);

  /// Takes what a gateway was told of the load by the process that ran here
  /// before.
  void takeVerdict(const serving::LoadVerdict &Given);

  /// @return whether a state of the target was taken since the model is known.
  bool hasObserved() const { return Proof.last().has_value(); }

  /// @return what has to be done about the weights that the target holds before
  /// another load is ordered.
  serving::LoadProof::Step step() const { return Proof.step(); }

  /// Reads the chunks that are staged at the target into \p Chunks, which has
  /// to outlive the call. Those that do not match the manifest are left out.
  boost::asio::awaitable<void> readStagedChunks(VersionChunks &Chunks);

  /// Reads back whether the chunks of the loaded version are whole where they
  /// are staged. \p Chunks is that version, and has to outlive the call.
  boost::asio::awaitable<void> proveLoad(const VersionChunks &Chunks);

  /// Orders the target to give up the layers that it holds.
  boost::asio::awaitable<void> unload();

  /// Stages all chunks at the target and orders it to load them. Sends no order
  /// if the target restarts meanwhile, begins another order, or if
  /// \p StillPlanned returns false in the end. Call it only while the target's
  /// state is known; \p Chunks has to outlive the call.
  boost::asio::awaitable<void> stageAndLoad(VersionChunks &Chunks,
                                            PlannedHook StillPlanned);

private:
  /// Times of a staging, for the log.
  struct StagingTimes {
    core::BootTime From;
    core::BootTime::duration LongestCall{0};
  };

  /// How an order went.
  struct OrderOutcome {
    /// Its bytes may have reached the target.
    bool Sent = false;
    /// For the log.
    std::string Text;
  };

  /// Writes a chunk and reads it back: the answer to a write names no request,
  /// so on a kept connection it may be that to an earlier one.
  /// @return whether the chunk is staged.
  boost::asio::awaitable<bool> stageChunk(const VersionChunks &Chunks,
                                          std::size_t Index,
                                          StagingTimes &Times);
  /// @return whether the target returns the chunk as it is in \p Chunks.
  boost::asio::awaitable<bool> isStaged(const VersionChunks &Chunks,
                                        std::size_t Index);
  boost::asio::awaitable<void> orderLoad(std::uint64_t Version,
                                         StagingTimes Times,
                                         PlannedHook StillPlanned);
  /// Sends an order, unless the target's state has changed by the time at which
  /// it is connected, or \p MaySend returns false then.
  boost::asio::awaitable<OrderOutcome> sendOrder(platform::LoadOrder Order,
                                                 std::function<bool()> MaySend);
  /// @return whether an order to load what is staged has got no answer. What it
  /// may still take is left as it is, and the order is sent again.
  bool mayOrderAgain(std::uint64_t Version) const {
    return StagedVersion == Version && Proof.awaitsOrder(Version);
  }
  /// @return whether the target responds and its last state is \p Seen.
  bool unchangedSince(const serving::LoadProof::TargetOrders &Seen) const;
  /// Sets what is reported of the weights, which may keep requests away.
  void applyProof();
  /// Waits until the target's state shows the version or the wait times out.
  /// The state is authoritative, also if the response to the order was lost.
  boost::asio::awaitable<void> awaitLoadedVersion(std::uint64_t Version);

  boost::asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  /// State of this host's target.
  TargetWatch &Watch;
  const ServedModel &Served;
  serving::LoadProof Proof;
  /// The model that `Proof` is about.
  std::string ProvenModel;
  serving::StagedChunks Staged;
  /// The version whose chunks were staged last, or some of them.
  std::uint64_t StagedVersion = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_TARGET_LOADER_H
