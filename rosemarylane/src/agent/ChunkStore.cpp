#include "agent/ChunkStore.h"

#include <algorithm>

namespace rosemarylane {

void ChunkStore::refresh(std::function<void(bool)> OnDone) {
  Engine.readChunks([this, OnDone = std::move(OnDone)](auto Listed) {
    if (Listed)
      Held = std::unordered_set<core::Digest>(Listed->begin(), Listed->end());
    OnDone(Listed.has_value());
  });
}

void ChunkStore::clear() {
  Held.clear();
  Recent.clear();
  RecentBytes = 0;
}

void ChunkStore::read(const core::Digest &Id, ReadHook OnDone) {
  auto Found = std::find_if(Recent.begin(), Recent.end(),
                            [&](const Cached &C) { return C.Id == Id; });
  if (Found != Recent.end()) {
    Recent.splice(Recent.begin(), Recent, Found);
    OnDone(Found->Data);
    return;
  }
  Engine.readChunk(Id, [this, Id, OnDone = std::move(OnDone)](auto Data) {
    if (!Data) {
      if (Data.error().What == EngineError::Kind::NotFound)
        Held.erase(Id);
      OnDone(nullptr);
      return;
    }
    auto Shared = std::make_shared<const std::string>(std::move(*Data));
    cache(Id, Shared);
    OnDone(Shared);
  });
}

void ChunkStore::write(const core::Digest &Id, std::string Data,
                       WriteHook OnDone) {
  auto Shared = std::make_shared<const std::string>(std::move(Data));
  Engine.writeChunk(
      Id, *Shared, [this, Id, Shared, OnDone = std::move(OnDone)](auto Answer) {
        if (Answer) {
          Held.insert(Id);
          cache(Id, Shared);
        }
        OnDone(std::move(Answer));
      });
}

void ChunkStore::remove(const core::Digest &Id) {
  Held.erase(Id);
  Engine.deleteChunk(Id, [](auto) {});
}

void ChunkStore::cache(const core::Digest &Id, Bytes Data) {
  RecentBytes += Data->size();
  Recent.push_front({Id, std::move(Data)});
  while (RecentBytes > CacheBytes) {
    RecentBytes -= Recent.back().Data->size();
    Recent.pop_back();
  }
}

} // namespace rosemarylane
