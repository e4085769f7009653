#ifndef ROSEMARYLANE_AGENT_ENGINE_CONTROL_H
#define ROSEMARYLANE_AGENT_ENGINE_CONTROL_H

#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// A model or adapter that the engine has loaded.
struct LoadedModel {
  core::Digest Version;
  /// The engine's generation at which it was loaded.
  std::uint64_t Generation = 0;

  bool operator==(const LoadedModel &) const = default;
};

/// What the engine says of itself.
struct EngineState {
  std::uint64_t Generation = 0;
  std::uint64_t Fence = 0;
  bool Warm = false;
  std::map<core::EntryName, LoadedModel> Loaded;
  std::uint64_t FreeBytes = 0;
  /// Requests that run or wait.
  std::uint64_t Requests = 0;

  bool operator==(const EngineState &) const = default;
};

/// Why an order or question to the engine failed.
struct EngineError {
  enum class Kind {
    /// No whole answer came; an order may have been carried out.
    Unreachable,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine cannot do this with what it holds.
    Rejected,
    /// The engine's memory is full.
    Full,
    NotFound,
    Malformed,
  };
  Kind What;
  std::string Detail;
};

/// An order to load one version.
struct LoadOrder {
  core::EntryName Name;
  core::Digest Version;
  /// In the manifest's order.
  std::vector<core::Digest> Chunks;
  std::optional<core::EntryName> Base;
  std::uint64_t Fence = 0;
};

/// The control calls of this agent's model engine.
///
/// On the control duty; every hook is called once, there, unless the object was
/// destroyed before.
class EngineControl {
public:
  template <typename T>
  using Hook = std::function<void(core::Result<T, EngineError>)>;
  struct Done {};

  static std::unique_ptr<EngineControl> create(ProcessContext &Context);
  virtual ~EngineControl() = default;

  virtual void readState(Hook<EngineState> OnDone) = 0;
  /// Lists the chunks in the engine's memory.
  virtual void readChunks(Hook<std::vector<core::Digest>> OnDone) = 0;
  virtual void readChunk(const core::Digest &Id, Hook<std::string> OnDone) = 0;
  virtual void writeChunk(const core::Digest &Id, std::string Bytes,
                          Hook<Done> OnDone) = 0;
  virtual void deleteChunk(const core::Digest &Id, Hook<Done> OnDone) = 0;
  virtual void load(const LoadOrder &Order, Hook<EngineState> OnDone) = 0;
  virtual void unload(const core::EntryName &Name, std::uint64_t Fence,
                      Hook<EngineState> OnDone) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_ENGINE_CONTROL_H
