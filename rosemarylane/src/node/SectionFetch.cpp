#include "node/SectionFetch.h"

#include "node/SectionLog.h"
#include "node/SectionMessages.h"
#include "wire/Compression.h"
#include "wire/node.pb.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using platform::Section;
using std::chrono::milliseconds;

namespace {

/// Timeout of the exchange without the body, including the connection setup.
constexpr milliseconds PeerTimeout{700};
/// Limit of one decompressed value.
constexpr std::size_t MaxValueBytes = 8 << 20;

/// @param Sent when the request was sent; the ages in the body count from then.
/// @return whether the item's value could be decompressed.
bool decodeItem(const wire::SectionItem &From, BootTime Sent,
                serving::StoredItem &To) {
  To.Value = From.value();
  if (From.has_compressed_value()) {
    if (From.value_bytes() > MaxValueBytes)
      return false;
    auto Value = wire::decompress(From.compressed_value(), From.value_bytes());
    if (!Value)
      return false;
    To.Value = std::move(*Value);
  }
  To.Revision = From.revision();
  if (From.has_changed_after_age_ms())
    To.ChangedAfter = Sent - milliseconds(From.changed_after_age_ms());
  return true;
}

/// @return nothing if the body is malformed or the peer has never read the
/// section.
std::optional<SectionRead> decodeSection(const std::string &Body,
                                         BootTime Sent) {
  wire::Section Theirs;
  if (!Theirs.ParseFromString(Body) || Theirs.summary().proof_age_ms() < 0)
    return std::nullopt;
  SectionRead Read;
  for (const wire::SectionItem &Item : Theirs.items())
    if (!decodeItem(Item, Sent, Read.Items[Item.key()]))
      return std::nullopt;
  Read.At = {Theirs.summary().era(), Theirs.summary().at()};
  Read.ConfirmedAt = Sent - milliseconds(Theirs.summary().proof_age_ms());
  Read.EraSeenAt = BootClock::now();
  // Counted from the arrival, so that the age is not overstated.
  if (Theirs.summary().has_era_age_ms())
    Read.EraSeenAt -= milliseconds(Theirs.summary().era_age_ms());
  return Read;
}

} // namespace

asio::awaitable<std::optional<SectionRead>>
fetchSection(HttpClient &Client, Section Which, std::string Address,
             std::string Source, bool Compressed) {
  HttpClient::Call Call;
  Call.Kind = Which == Section::Operators ? "operators from a peer"
                                          : "registry from a peer";
  Call.Request.Method = "GET";
  Call.Request.Target = pathOf(Which);
  if (Compressed)
    Call.Request.Target += CompressedSuffix;
  Call.Timeout = PeerTimeout;
  BootTime Sent = BootClock::now();
  Call.BodyTimeout = SectionBodyTimeout;
  Call.OnBodyEnd = transferLog(Which, Source, Sent);
  auto Answer = co_await Client.exchange(std::move(Address), std::move(Call));
  if (!Answer)
    logFailedRead(Which, Source, Answer.error(), Sent);
  if (!Answer || Answer->Head.Status != 200)
    co_return std::nullopt;
  co_return decodeSection(Answer->Body, Sent);
}

} // namespace rosemarylane
