#include "platform/Origin.h"

#include "StoreErrors.h"
#include "http/Client.h"

namespace rosemarylane::platform {

namespace {

/// The origin's link is shared, so an answer may wait for its turn.
constexpr std::chrono::seconds FirstByteDeadline{30};
constexpr std::chrono::seconds IdleDeadline{10};

class HttpOrigin : public Origin {
public:
  HttpOrigin(runtime::Duty &On, std::string Address)
      : Address(std::move(Address)), Http(http::Client::create(On)) {}

  void fetchManifest(const core::Digest &Version, Hook OnDone) override {
    fetch("/v1/manifests/" + Version.hex(), std::move(OnDone));
  }

  void fetchChunk(const core::Digest &Chunk, Hook OnDone) override {
    fetch("/v1/chunks/" + Chunk.hex(), std::move(OnDone));
  }

private:
  void fetch(std::string Path, Hook OnDone) {
    http::Deadlines Limits;
    Limits.FirstByte = FirstByteDeadline;
    Limits.Idle = IdleDeadline;
    Http->fetch(
        Address, {"GET", std::move(Path), {}, {}}, Limits,
        [OnDone = std::move(OnDone)](auto Answer) {
          if (!Answer)
            return OnDone(
                core::failure(toStoreError(CallKind::Read, Answer.error())));
          if (auto Error = statusError(CallKind::Read, *Answer))
            return OnDone(core::failure(std::move(*Error)));
          OnDone(std::move(Answer->Body));
        },
        true);
  }

  std::string Address;
  std::unique_ptr<http::Client> Http;
};

} // namespace

std::unique_ptr<Origin> Origin::create(runtime::Duty &On, std::string Address) {
  return std::make_unique<HttpOrigin>(On, std::move(Address));
}

} // namespace rosemarylane::platform
