#include "store/Origin.h"

#include "Deliver.h"
#include "StoreErrors.h"
#include "http/Client.h"

namespace rosemarylane::store {

namespace {

core::Result<std::string, StoreError>
bodyOf(core::Result<http::Response, http::Error> Answer) {
  if (!Answer)
    return core::failure(toStoreError(CallKind::Read, Answer.error()));
  if (auto Error = statusError(CallKind::Read, *Answer))
    return core::failure(std::move(*Error));
  return std::move(Answer->Body);
}

/// The origin's link is shared, so an answer may wait for its turn.
constexpr std::chrono::seconds FirstByteDeadline{30};
constexpr std::chrono::seconds IdleDeadline{10};
/// More than the largest chunk or manifest.
constexpr std::uint64_t MaxBodyBytes = 16 << 20;

class HttpOrigin : public Origin {
public:
  HttpOrigin(runtime::Duty &Io, runtime::Duty &Deliver, std::string Address,
             std::chrono::milliseconds Deadline)
      : Deliver(Deliver), Address(std::move(Address)), Deadline(Deadline),
        Http(http::Client::create(Io)) {}

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
    Limits.Total = Deadline;
    Http->fetch(
        Address, {"GET", std::move(Path), {}, {}}, Limits,
        [&Deliver = Deliver, OnDone = std::move(OnDone)](auto Answer) {
          deliver(Deliver, OnDone, bodyOf(std::move(Answer)));
        },
        /*Retryable=*/true, MaxBodyBytes);
  }

  runtime::Duty &Deliver;
  std::string Address;
  std::chrono::milliseconds Deadline;
  std::unique_ptr<http::Client> Http;
};

} // namespace

std::unique_ptr<Origin> Origin::create(runtime::Duty &Io,
                                       runtime::Duty &Deliver,
                                       std::string Address,
                                       std::chrono::milliseconds Deadline) {
  return std::make_unique<HttpOrigin>(Io, Deliver, std::move(Address),
                                      Deadline);
}

} // namespace rosemarylane::store
