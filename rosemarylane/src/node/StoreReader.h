#ifndef ROSEMARYLANE_NODE_STORE_READER_H
#define ROSEMARYLANE_NODE_STORE_READER_H

#include "core/BootClock.h"
#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/SectionCopies.h"
#include "platform/Records.h"
#include "serving/StoreSection.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>

namespace rosemarylane {

/// Sends requests to the platform's store: reads of whole sections, and for the
/// operators section also confirmations and watches. Keeps no copy and decides
/// nothing.
///
/// Used only on the loop's thread; it and the references passed to it have to
/// outlive its calls.
class StoreReader {
public:
  StoreReader(HttpClient &Client, const NodeSettings &Settings)
      : Client(Client), Settings(Settings) {}

  /// Reads all pages of a section, from the start again if the store was
  /// restored in between.
  /// @return nothing if a page could not be read; the reason is logged.
  boost::asio::awaitable<std::optional<SectionRead>>
  read(platform::Section Which);

  /// The store's answer to whether the items of the operators section are
  /// unchanged.
  struct Confirmation {
    enum class Answer {
      Unchanged,
      /// An item has changed, or the copy is not one that can be confirmed.
      ReadAgain,
      /// The store gave no answer, or an error. Says nothing of the section,
      /// and a larger request is no better answered.
      None,
    };
    Answer Result = Answer::None;
    /// The following are set if `Unchanged`.
    serving::StoreSection::Question Asked;
    serving::StorePosition At;
    /// When the confirming read was sent.
    core::BootTime ReadSentAt{};
  };

  /// Asks whether \p Known is still what the store holds. The answer is to be
  /// passed to `serving::SectionCopy::confirm`.
  boost::asio::awaitable<Confirmation>
  confirmOperators(const serving::StoreSection &Known);

  /// Waits for a change of the operators section after a store position.
  /// @return whether something has changed, or the store was restored; false
  /// also if the request failed.
  boost::asio::awaitable<bool> watchOperators(serving::StorePosition After);

  /// @return number of requests sent so far.
  std::uint64_t requestCount() const { return Requests; }

private:
  boost::asio::awaitable<std::optional<SectionRead>>
  readPages(platform::Section Which);
  boost::asio::awaitable<core::Result<http::Response, http::Error>>
  exchange(HttpClient::Call Call);

  HttpClient &Client;
  const NodeSettings &Settings;
  std::uint64_t Requests = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_STORE_READER_H
