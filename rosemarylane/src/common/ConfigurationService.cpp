#include "common/ConfigurationService.h"

#include "common/Messages.h"
#include "core/ConfigurationDecisions.h"
#include "core/StoredConfiguration.h"
#include "telemetry/Log.h"

#include <map>
#include <mutex>

namespace rosemarylane {

namespace {

using namespace std::chrono_literals;
using telemetry::Level;

/// Delay before the store is read again after a failed read or an ended watch.
constexpr auto StoreRetryInterval = 500ms;

/// Peers whose last message is more recent than this are notified of a new
/// revision.
constexpr auto RecentPeerWindow = 3s;

class ConfigurationServiceImpl final : public ConfigurationService {
public:
  ConfigurationServiceImpl(ProcessContext &Context, const MessageSender &Send,
                           bool MayReadStore)
      : Context(Context), Send(Send), MayReadStore(MayReadStore),
        InForce(std::make_shared<core::Configuration>()) {
    updateReader();
  }

  std::shared_ptr<const core::Configuration> current() const override {
    std::lock_guard<std::mutex> Lock(Mutex);
    return InForce;
  }

  void onChange(ChangeHook Hook) override { Hooks.push_back(std::move(Hook)); }

  void onStoreBehind(std::function<void()> Hook) override {
    StoreBehind = std::move(Hook);
  }

  void setLiveEntries(std::vector<core::HostId> Entries) override {
    LiveEntries = std::move(Entries);
    updateReader();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    core::TimePoint Now = std::chrono::steady_clock::now();
    if (Message.has_configuration_document())
      receiveDocument(From, Message.configuration_document());
    RecentPeers[From] = {Now, Message.revision()};
    core::ConfigurationExchange::RevisionAnnouncement Received{
        Message.revision(), std::nullopt};
    if (Message.has_configuration_request())
      Received.RequesterRevision = Message.configuration_request().known();
    switch (Exchange.handleMessage(Received, Now)) {
    case core::ConfigurationExchange::Action::RequestDocument:
      requestDocument(From);
      break;
    case core::ConfigurationExchange::Action::SendDocument:
      sendDocument(From);
      break;
    case core::ConfigurationExchange::Action::Nothing:
      break;
    }
  }

  void applyIfNewer(std::shared_ptr<const core::Configuration> Newer) override {
    if (!Exchange.accept(Newer->Revision))
      return;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      InForce = Newer;
    }
    Document.clear();
    telemetry::setLogRevision(Newer->Revision);
    telemetry::log(Level::Info, "configuration in force",
                   {{"revision", static_cast<std::int64_t>(Newer->Revision)}});
    notifyPeers();
    for (const ChangeHook &Hook : Hooks)
      Hook(Newer);
  }

private:
  /// Wraps a callback so that it runs on the control thread, and only if the
  /// current read session has not ended meanwhile.
  template <typename Argument, typename Handler>
  std::function<void(Argument)> onControl(Handler Handle) {
    return [Control = Context.Control.get(), Handle,
            Session = std::weak_ptr<ReadSession>(Reading)](Argument Value) {
      Control->postAlways([Session, Handle, Value = std::move(Value)] {
        if (!Session.expired())
          Handle(Value);
      });
    };
  }

  void updateReader() {
    bool Wanted =
        MayReadStore &&
        core::isConfigurationReader(Context.Config.Host,
                                    Context.Config.FailureDomain, LiveEntries);
    if (Wanted == (Reading != nullptr))
      return;
    Watch.reset();
    Retry.cancel();
    Reading = Wanted ? std::make_shared<ReadSession>() : nullptr;
    if (Reading)
      readStore();
  }

  void readStore() {
    using Value = core::Result<store::StoredValue, store::StoreError>;
    Context.Store->read(core::ConfigurationKey,
                        onControl<Value>([this](const Value &Read) {
                          if (!Read)
                            return retryLater(Read.error());
                          applyStored(*Read);
                          watchStore({Read->Revision + 1, Read->History});
                        }));
  }

  void watchStore(store::StorePosition From) {
    using store::StoredValue;
    using store::StoreError;
    Watch = Context.Store->watch(
        core::ConfigurationKey, From,
        onControl<StoredValue>(
            [this](const StoredValue &Value) { applyStored(Value); }),
        onControl<StoreError>(
            [this](const StoreError &Error) { retryLater(Error); }));
  }

  void retryLater(const store::StoreError &Error) {
    telemetry::log(Level::Warning, "configuration not read from the store",
                   {{"error", Error.Detail}});
    Watch.reset();
    Retry = Context.Timers->after(
        StoreRetryInterval, *Context.Control,
        [this, Session = std::weak_ptr<ReadSession>(Reading)] {
          if (!Session.expired())
            readStore();
        });
  }

  void applyStored(const store::StoredValue &Value) {
    if (Value.Revision == 0 || Value.Value.empty())
      return;
    auto Stored = core::parseStoredConfiguration(Value.Value);
    if (!Stored)
      return logRejection("store", Stored.error());
    if (core::isBehind(*Stored, *current())) {
      telemetry::log(Level::Warning, "store is behind the configuration",
                     {{"store_revision",
                       static_cast<std::int64_t>(Stored->Current.Revision)}});
      if (StoreBehind)
        StoreBehind();
      return;
    }
    applyIfNewer(
        std::make_shared<core::Configuration>(std::move(Stored->Current)));
  }

  void receiveDocument(const wire::Peer &From,
                       const wire::ConfigurationDocument &Received) {
    if (Received.revision() <= current()->Revision)
      return;
    auto Parsed = core::parseConfiguration(Received.json());
    if (!Parsed)
      return logRejection(From.Key, Parsed.error());
    applyIfNewer(std::make_shared<core::Configuration>(std::move(*Parsed)));
  }

  void logRejection(const std::string &Source,
                    const core::DocumentErrors &Errors) {
    telemetry::log(Level::Error,
                   "configuration rejected; the current one stays in force",
                   {{"source", Source},
                    {"path", Errors.front().Path},
                    {"found", Errors.front().Found},
                    {"expected", Errors.front().Expected},
                    {"errors", static_cast<std::int64_t>(Errors.size())}});
  }

  void requestDocument(const wire::Peer &From) {
    wire::Envelope Message;
    Message.mutable_configuration_request()->set_known(current()->Revision);
    Send.send(From, std::move(Message));
  }

  /// Sends the new revision at once to the peers that have an older one,
  /// instead of leaving it to the next heartbeat.
  void notifyPeers() {
    core::TimePoint Now = std::chrono::steady_clock::now();
    std::erase_if(RecentPeers, [&](const auto &Peer) {
      return Now - Peer.second.ReceivedAt >= RecentPeerWindow;
    });
    wire::Envelope Notice;
    Notice.mutable_revision_notice();
    for (const auto &[Peer, Last] : RecentPeers)
      if (Last.Revision < current()->Revision)
        Send.send(Peer, Notice);
  }

  void sendDocument(const wire::Peer &To) {
    auto Current = current();
    if (Document.empty())
      Document = core::formatConfiguration(*Current);
    wire::Envelope Message;
    wire::ConfigurationDocument &Body =
        *Message.mutable_configuration_document();
    Body.set_revision(Current->Revision);
    Body.set_json(Document);
    Send.send(To, std::move(Message));
  }

  /// Exists while this process reads the store. Callbacks hold a weak pointer
  /// to it, which expires when the session or the service ends.
  struct ReadSession {};

  /// When a peer's last message was received, and the revision it carried.
  struct LastMessage {
    core::TimePoint ReceivedAt;
    std::uint64_t Revision = 0;
  };

  ProcessContext &Context;
  const MessageSender &Send;
  const bool MayReadStore;

  mutable std::mutex Mutex;
  std::shared_ptr<const core::Configuration> InForce;
  std::vector<ChangeHook> Hooks;
  std::function<void()> StoreBehind;
  /// The configuration in force, serialized for peers; empty until the first
  /// request for it.
  std::string Document;

  std::vector<core::HostId> LiveEntries;
  std::shared_ptr<ReadSession> Reading;
  std::unique_ptr<store::KeyValue::Watch> Watch;
  runtime::TimerService::Subscription Retry;
  core::ConfigurationExchange Exchange;
  /// The last message of each peer; older ones than `RecentPeerWindow` are
  /// removed when peers are notified.
  std::map<wire::Peer, LastMessage> RecentPeers;
};

} // namespace

std::unique_ptr<ConfigurationService>
ConfigurationService::create(ProcessContext &Context, const MessageSender &Send,
                             bool MayReadStore) {
  return std::make_unique<ConfigurationServiceImpl>(Context, Send,
                                                    MayReadStore);
}

} // namespace rosemarylane
