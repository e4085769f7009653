#include "node/StoreReader.h"

#include "node/SectionLog.h"
#include "platform/StoreCalls.h"
#include "telemetry/Log.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using platform::Section;
using serving::StoreSection;
using std::chrono::milliseconds;

namespace {

/// Timeout of whole HTTP exchanges, including the connection setup.
constexpr milliseconds StoreTimeout{600};
/// How often a section is read anew because its pages are of two eras.
constexpr int MaxReadAttempts = 3;
/// Limit of the body of a notice that something has changed. The notice holds
/// the changed items, which are read from the section instead.
constexpr std::size_t MaxNoticeBytes = 16 << 10;
/// How long the store may hold a watch request open if nothing changes.
constexpr milliseconds WatchDuration{6000};
/// `WatchDuration` plus the `StoreTimeout` that other requests have.
constexpr milliseconds WatchTimeout{6600};

void logWarning(const char *Text, const std::string &Detail) {
  telemetry::log(telemetry::Level::Warning, Text, {{"detail", Detail}});
}

void logUnreadablePage(Section Which, const std::string &After,
                       const std::string &Detail) {
  telemetry::log(telemetry::Level::Warning,
                 "cannot decode a page of items from the store",
                 {{"section", std::string(nameOf(Which))},
                  {"after", After},
                  {"detail", Detail}});
}

} // namespace

asio::awaitable<core::Result<http::Response, http::Error>>
StoreReader::exchange(HttpClient::Call Call) {
  ++Requests;
  return Client.exchange(Settings.StoreAddress, std::move(Call));
}

asio::awaitable<std::optional<SectionRead>> StoreReader::read(Section Which) {
  for (int Attempt = 0; Attempt < MaxReadAttempts; ++Attempt) {
    auto Result = co_await readPages(Which);
    bool WasRestored = Result && !Result->At.known();
    if (!WasRestored)
      co_return Result;
  }
  logWarning("the store was restored during each read of a section",
             nameOf(Which));
  co_return std::nullopt;
}

/// @return nothing if a page could not be read; an unknown position if the
/// pages are of two eras, and so of no read.
asio::awaitable<std::optional<SectionRead>>
StoreReader::readPages(Section Which) {
  SectionRead Result;
  std::string After;
  BootTime Sent = BootClock::now();
  for (;;) {
    HttpClient::Call Call;
    Call.Kind = Which == Section::Operators ? "operators from the store"
                                            : "registry from the store";
    Call.Request = platform::pageRequest(Which, After);
    Call.Timeout = StoreTimeout;
    Call.BodyTimeout = SectionBodyTimeout;
    Call.OnBodyEnd = transferLog(Which, "store", Sent);
    auto Answer = co_await exchange(std::move(Call));
    if (!Answer) {
      logFailedRead(Which, "store", Answer.error(), Sent);
      co_return std::nullopt;
    }
    auto Page = platform::decodePage(Which, *Answer);
    if (!Page) {
      logUnreadablePage(Which, After, Page.error().text());
      co_return std::nullopt;
    }
    // Reading on from there would end nowhere.
    if (Page->More && Page->LastKey <= After) {
      logUnreadablePage(Which, After, "more items, but none on this page");
      co_return std::nullopt;
    }
    // The revision of the first page is used for all. Later pages may contain
    // newer items; the next read finds any changes made in between.
    if (!Result.At.known()) {
      Result.At = Page->At;
      Result.EraSeenAt = BootClock::now();
    }
    if (Page->At.Era != Result.At.Era)
      co_return SectionRead{};
    Result.Items.merge(Page->Items);
    After = Page->LastKey;
    if (!Page->More)
      break;
  }
  Result.ConfirmedAt = Sent;
  co_return Result;
}

asio::awaitable<StoreReader::Confirmation>
StoreReader::confirmOperators(const StoreSection &Known) {
  using Answered = Confirmation::Answer;
  std::optional<StoreSection::Question> Asked = Known.question();
  // A refusal is larger than the read of a section that may still be empty.
  if (!Asked || Known.items().empty())
    co_return Confirmation{.Result = Answered::ReadAgain};
  std::vector<core::FailureDomainId> Domains;
  for (const auto &[Domain, Region] : Settings.RegionOf)
    Domains.push_back(Domain);
  auto Keys = platform::operatorKeys(Known.items(), Domains);
  if (Keys.empty())
    co_return Confirmation{.Result = Answered::ReadAgain};
  HttpClient::Call Call;
  Call.Kind = "confirmation from the store";
  Call.Request = platform::confirmRequest(Keys, Known.items());
  Call.Timeout = StoreTimeout;
  Call.MaxBodyBytes = MaxNoticeBytes;
  BootTime Sent = BootClock::now();
  auto Answer = co_await exchange(std::move(Call));
  // A refusal holds the items as they are now, which may be over the limit.
  if (!Answer && Answer.error().What == http::Error::Kind::Malformed)
    co_return Confirmation{.Result = Answered::ReadAgain};
  if (!Answer) {
    logFailedRead(Section::Operators, "store", Answer.error(), Sent);
    co_return Confirmation{};
  }
  auto Confirmed = platform::decodeConfirmation(*Answer);
  if (!Confirmed) {
    logWarning("cannot decode the store's confirmation of the operators "
               "section",
               Confirmed.error().text());
    co_return Confirmation{};
  }
  if (!Confirmed->Unchanged)
    co_return Confirmation{.Result = Answered::ReadAgain};
  co_return Confirmation{Answered::Unchanged, *Asked, Confirmed->At, Sent};
}

asio::awaitable<bool>
StoreReader::watchOperators(serving::StorePosition After) {
  HttpClient::Call Call;
  Call.Kind = "watch of the store";
  Call.Request =
      platform::watchRequest(Section::Operators, After.Revision, WatchDuration);
  Call.Timeout = WatchTimeout;
  Call.MaxBodyBytes = MaxNoticeBytes;
  auto Answer = co_await exchange(std::move(Call));
  // A notice over the limit is one, too.
  if (!Answer)
    co_return Answer.error().What == http::Error::Kind::Malformed;
  auto Notice = platform::decodeWatch(*Answer);
  if (!Notice)
    co_return false;
  bool WasRestored = Notice->Era != After.Era;
  co_return WasRestored || Notice->Changed;
}

} // namespace rosemarylane
