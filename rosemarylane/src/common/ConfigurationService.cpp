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

/// Between two tries at a store that does not answer, or whose watch ended.
constexpr auto StoreRetryInterval = 500ms;

/// A peer that was heard from within this time is told of a new revision.
constexpr auto HeardFor = 3s;

class ConfigurationServiceImpl final : public ConfigurationService {
public:
  ConfigurationServiceImpl(ProcessContext &Context, const MessageSender &Send,
                           bool MayReadStore)
      : Context(Context), Send(Send), MayReadStore(MayReadStore),
        InForce(std::make_shared<core::Configuration>()) {
    updateReading();
  }

  std::shared_ptr<const core::Configuration> current() const override {
    std::lock_guard<std::mutex> Lock(Mutex);
    return InForce;
  }

  void onChange(ChangeHook Hook) override { Hooks.push_back(std::move(Hook)); }

  void setLiveEntries(std::vector<core::HostId> Entries) override {
    LiveEntries = std::move(Entries);
    updateReading();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    core::TimePoint Now = std::chrono::steady_clock::now();
    if (Message.has_configuration_document())
      takeDocument(From, Message.configuration_document());
    Heard[From] = {Now, Message.revision()};
    core::ConfigurationExchange::Heard Told{Message.revision(), std::nullopt};
    if (Message.has_configuration_request())
      Told.RequesterRevision = Message.configuration_request().known();
    switch (Exchange.handleMessage(Told, Now)) {
    case core::ConfigurationExchange::Action::RequestDocument:
      ask(From);
      break;
    case core::ConfigurationExchange::Action::SendDocument:
      sendDocument(From);
      break;
    case core::ConfigurationExchange::Action::Nothing:
      break;
    }
  }

  void offer(std::shared_ptr<const core::Configuration> Newer) override {
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
    tellPeers();
    for (const ChangeHook &Hook : Hooks)
      Hook(Newer);
  }

private:
  /// Wraps a hook so that it runs on the control duty, and only while this
  /// service exists and has read the store without a break since.
  template <typename Argument, typename Handler>
  std::function<void(Argument)> onControl(Handler Handle) {
    return [Control = Context.Control.get(), Handle,
            Turn = std::weak_ptr<ReadingTurn>(Reading)](Argument Value) {
      Control->postAlways([Turn, Handle, Value = std::move(Value)] {
        if (!Turn.expired())
          Handle(Value);
      });
    };
  }

  void updateReading() {
    bool Wanted =
        MayReadStore &&
        core::isConfigurationReader(Context.Config.Host,
                                    Context.Config.FailureDomain, LiveEntries);
    if (Wanted == (Reading != nullptr))
      return;
    Watch.reset();
    Retry.cancel();
    Reading = Wanted ? std::make_shared<ReadingTurn>() : nullptr;
    if (Reading)
      readStore();
  }

  void readStore() {
    using Value = core::Result<store::StoredValue, store::StoreError>;
    Context.Store->read(core::ConfigurationKey,
                        onControl<Value>([this](const Value &Read) {
                          if (!Read)
                            return retryLater(Read.error());
                          takeStored(*Read);
                          watchStore(Read->Revision + 1);
                        }));
  }

  void watchStore(std::int64_t FromRevision) {
    using store::StoredValue;
    using store::StoreError;
    Watch = Context.Store->watch(
        core::ConfigurationKey, FromRevision,
        onControl<StoredValue>(
            [this](const StoredValue &Value) { takeStored(Value); }),
        onControl<StoreError>(
            [this](const StoreError &Error) { retryLater(Error); }));
  }

  void retryLater(const store::StoreError &Error) {
    telemetry::log(Level::Warning, "configuration not read from the store",
                   {{"error", Error.Detail}});
    Watch.reset();
    Retry = Context.Timers->after(
        StoreRetryInterval, *Context.Control,
        [this, Turn = std::weak_ptr<ReadingTurn>(Reading)] {
          if (!Turn.expired())
            readStore();
        });
  }

  void takeStored(const store::StoredValue &Value) {
    if (Value.Revision == 0 || Value.Value.empty())
      return;
    auto Stored = core::parseStoredConfiguration(Value.Value);
    if (!Stored)
      return refuse("store", Stored.error());
    offer(std::make_shared<core::Configuration>(std::move(Stored->Current)));
  }

  void takeDocument(const wire::Peer &From,
                    const wire::ConfigurationDocument &Received) {
    if (Received.revision() <= current()->Revision)
      return;
    auto Parsed = core::parseConfiguration(Received.json());
    if (!Parsed)
      return refuse(From.Key, Parsed.error());
    offer(std::make_shared<core::Configuration>(std::move(*Parsed)));
  }

  void refuse(const std::string &Source, const core::DocumentErrors &Errors) {
    telemetry::log(Level::Error,
                   "configuration refused; the last one stays in force",
                   {{"source", Source},
                    {"path", Errors.front().Path},
                    {"found", Errors.front().Found},
                    {"expected", Errors.front().Expected},
                    {"errors", static_cast<std::int64_t>(Errors.size())}});
  }

  void ask(const wire::Peer &From) {
    wire::Envelope Message;
    Message.mutable_configuration_request()->set_known(current()->Revision);
    Send.send(From, std::move(Message));
  }

  /// Lets the peers that are behind know of the new revision at once, so that
  /// it does not wait for the next heartbeat.
  void tellPeers() {
    core::TimePoint Now = std::chrono::steady_clock::now();
    std::erase_if(Heard, [&](const auto &Peer) {
      return Now - Peer.second.At >= HeardFor;
    });
    wire::Envelope Notice;
    Notice.mutable_revision_notice();
    for (const auto &[Peer, Last] : Heard)
      if (Last.Revision < current()->Revision)
        Send.send(Peer, Notice);
  }

  void sendDocument(const wire::Peer &To) {
    auto Config = current();
    if (Document.empty())
      Document = core::formatConfiguration(*Config);
    wire::Envelope Message;
    wire::ConfigurationDocument &Body =
        *Message.mutable_configuration_document();
    Body.set_revision(Config->Revision);
    Body.set_json(Document);
    Send.send(To, std::move(Message));
  }

  /// Lives while this process reads the store; work begun in an earlier turn
  /// finds it gone.
  struct ReadingTurn {};

  /// The last message from a peer, and the revision that it carried.
  struct LastHeard {
    core::TimePoint At;
    std::uint64_t Revision = 0;
  };

  ProcessContext &Context;
  const MessageSender &Send;
  const bool MayReadStore;

  mutable std::mutex Mutex;
  std::shared_ptr<const core::Configuration> InForce;
  std::vector<ChangeHook> Hooks;
  /// The configuration in force as sent to peers; empty until it is asked for.
  std::string Document;

  std::vector<core::HostId> LiveEntries;
  std::shared_ptr<ReadingTurn> Reading;
  std::unique_ptr<store::KeyValue::Watch> Watch;
  runtime::TimerService::Subscription Retry;
  core::ConfigurationExchange Exchange;
  /// The peers heard from lately.
  std::map<wire::Peer, LastHeard> Heard;
};

} // namespace

std::unique_ptr<ConfigurationService>
ConfigurationService::create(ProcessContext &Context, const MessageSender &Send,
                             bool MayReadStore) {
  return std::make_unique<ConfigurationServiceImpl>(Context, Send,
                                                    MayReadStore);
}

} // namespace rosemarylane
