#include "node/PartQuarantineService.h"

#include "core/Rendezvous.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace rosemarylane {

using core::BootClock;
using core::BootTime;
using routing::PartQuarantine;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AskPeriod{1000};
/// The same in the first `NewProcessTime` after the start: until it has asked,
/// a process knows of nothing that it must not send.
constexpr milliseconds NewProcessAskPeriod{50};
constexpr milliseconds NewProcessTime{2000};
constexpr milliseconds RegistryCheckPeriod{1000};
/// Peers that are asked in each period.
constexpr std::size_t PeersAsked = 3;
/// Incidents in one message, so that it fits a datagram.
constexpr std::size_t IncidentsPerMessage = 32;
/// Bounds of what is taken from a message.
constexpr std::size_t MaxParts = 16;
constexpr std::size_t MaxPartBytes = 64;

std::uint32_t ageMs(BootTime At, BootTime Now) {
  auto Age = std::chrono::duration_cast<milliseconds>(Now - At);
  return static_cast<std::uint32_t>(
      std::max<milliseconds::rep>(Age.count(), 0));
}

std::string joined(const std::vector<std::string> &Parts) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text += (Text.empty() ? "" : ",") + Part;
  return Text;
}

void toWire(const PartQuarantine::Incident &From, BootTime Now,
            wire::CrashIncident &To) {
  To.set_death(From.Death);
  To.set_request(From.Accused.Request);
  for (const std::string &Part : From.Accused.Parts)
    To.add_parts(Part);
  To.set_age_ms(ageMs(From.At, Now));
  To.set_in_progress_ms(static_cast<std::uint32_t>(From.InProgress.count()));
  To.set_answer_begun(From.AnswerBegun);
}

} // namespace

std::unique_ptr<PartQuarantineService>
PartQuarantineService::start(boost::asio::io_context &Loop, PeerSocket &Socket,
                             const serving::PeerTable &Peers) {
  std::unique_ptr<PartQuarantineService> Service(
      new PartQuarantineService(Loop, Socket, Peers));
  Service->scheduleTick();
  return Service;
}

std::uint64_t PartQuarantineService::deathId(const std::string &Address,
                                             std::int64_t StartTimeMs) {
  // Serves as a plain hash of both values; nothing is ranked by it.
  return core::rendezvousWeight(std::to_string(StartTimeMs), Address);
}

milliseconds PartQuarantineService::askPeriod(BootTime Now) const {
  return Now - StartedAt < NewProcessTime ? NewProcessAskPeriod : AskPeriod;
}

void PartQuarantineService::scheduleTick() {
  Timer.expires_after(askPeriod(BootClock::now()));
  Timer.async_wait([this](auto Failed) {
    if (Failed)
      return;
    BootTime Now = BootClock::now();
    Known.expire(Now);
    logConvictions();
    askPeers(Now);
    scheduleTick();
  });
}

void PartQuarantineService::askPeers(BootTime Now) {
  std::vector<serving::Peer> Others = Peers.live(Now);
  std::shuffle(Others.begin(), Others.end(), Random);
  wire::NodeMessage Message;
  Message.mutable_crash_evidence()->set_digest(Known.digest());
  Message.mutable_crash_evidence()->set_ask(true);
  for (std::size_t I = 0; I < std::min(PeersAsked, Others.size()); ++I)
    Socket.send(Others[I].Ip, Message);
}

void PartQuarantineService::tell(const std::string &Ip, BootTime Now) {
  const auto &Incidents = Known.incidents();
  for (std::size_t I = 0; I < Incidents.size();) {
    wire::NodeMessage Message;
    wire::CrashEvidence &Body = *Message.mutable_crash_evidence();
    Body.set_digest(Known.digest());
    for (std::size_t In = 0; In < IncidentsPerMessage && I < Incidents.size();
         ++In, ++I) {
      toWire(Incidents[I], Now, *Body.add_incidents());
      addAnswered(Known.clearedParts(Incidents[I]), Now, Body);
      if (Known.isRequestCleared(Incidents[I]))
        addAnsweredWhole(Incidents[I].Accused.Request, Now, Body);
    }
    Socket.send(Ip, std::move(Message));
  }
}

void PartQuarantineService::spread(const wire::NodeMessage &Message,
                                   BootTime Now) {
  for (const serving::Peer &Peer : Peers.live(Now))
    if (Peer.Role == serving::PeerRole::Gateway ||
        Peer.FailureDomain == Peers.self().FailureDomain)
      Socket.send(Peer.Ip, Message);
}

bool PartQuarantineService::add(PartQuarantine::Incident Report) {
  std::string Parts = joined(Report.Accused.Parts);
  if (!Known.add(std::move(Report)))
    return false;
  telemetry::log(telemetry::Level::Info, "request seen at a death",
                 {{"shared_parts", std::move(Parts)}});
  return true;
}

void PartQuarantineService::logConvictions() {
  std::vector<std::string> Refused;
  for (const auto &Against : Known.convictions())
    Refused.push_back(Against.Parts.empty()
                          ? "request " + std::to_string(Against.Request)
                          : joined(Against.Parts));
  if (Refused == LoggedRefused)
    return;
  for (const std::string &What : Refused)
    telemetry::log(telemetry::Level::Warning, "requests are refused",
                   {{"shared_parts", What}});
  LoggedRefused = std::move(Refused);
}

void PartQuarantineService::requestBroke(std::uint64_t Death,
                                         PartQuarantine::Subject Request,
                                         Progress Until) {
  BootTime Now = BootClock::now();
  PartQuarantine::Incident Report{Death, std::move(Request), Now,
                                  Until.InProgress, Until.AnswerBegun};
  wire::NodeMessage Message;
  wire::CrashEvidence &Body = *Message.mutable_crash_evidence();
  toWire(Report, Now, *Body.add_incidents());
  if (!add(std::move(Report)))
    return;
  Body.set_digest(Known.digest());
  spread(Message, Now);
}

void PartQuarantineService::answerBegun(const std::vector<std::string> &Parts) {
  BootTime Now = BootClock::now();
  spreadAnswered(Known.recordAnswered(Parts, Now), Now);
}

void PartQuarantineService::spreadAnswered(
    const std::vector<std::string> &Parts, BootTime Now) {
  if (Parts.empty())
    return;
  telemetry::log(telemetry::Level::Info, "parts are cleared",
                 {{"shared_parts", joined(Parts)}});
  wire::NodeMessage Message;
  addAnswered(Parts, Now, *Message.mutable_crash_evidence());
  spread(Message, Now);
}

void PartQuarantineService::addAnswered(const std::vector<std::string> &Parts,
                                        BootTime Now,
                                        wire::CrashEvidence &To) const {
  To.set_digest(Known.digest());
  for (const std::string &Part : Parts) {
    wire::AnsweredPart &Cleared = *To.add_answered();
    Cleared.set_part(Part);
    Cleared.set_age_ms(ageMs(Known.answeredAt(Part), Now));
    BootTime WholeAt = Known.answeredWholeAt(Part);
    if (WholeAt != BootTime())
      Cleared.set_whole_age_ms(ageMs(WholeAt, Now));
  }
}

void PartQuarantineService::answeredWhole(
    const PartQuarantine::Subject &Request) {
  BootTime Now = BootClock::now();
  spreadAnswered(Known.recordAnsweredWhole(Request.Parts, Now), Now);
  if (Known.recordAnsweredWhole(Request.Request, Now))
    spreadAnsweredWhole({Request.Request}, Now);
}

void PartQuarantineService::spreadAnsweredWhole(
    const std::vector<std::uint64_t> &Requests, BootTime Now) {
  if (Requests.empty())
    return;
  telemetry::log(telemetry::Level::Info, "requests are cleared",
                 {{"count", std::int64_t(Requests.size())}});
  wire::NodeMessage Message;
  wire::CrashEvidence &Body = *Message.mutable_crash_evidence();
  Body.set_digest(Known.digest());
  for (std::uint64_t Request : Requests)
    addAnsweredWhole(Request, Now, Body);
  spread(Message, Now);
}

void PartQuarantineService::addAnsweredWhole(std::uint64_t Request,
                                             BootTime Now,
                                             wire::CrashEvidence &To) const {
  wire::AnsweredRequest &Answered = *To.add_answered_whole();
  Answered.set_request(Request);
  Answered.set_age_ms(ageMs(Known.answeredWholeAt(Request), Now));
}

void PartQuarantineService::targetsRegistered(
    const std::vector<serving::RegisteredTarget> &Targets, BootTime ReadAt) {
  if (Known.empty() || ReadAt - RegistryCheckedAt < RegistryCheckPeriod)
    return;
  RegistryCheckedAt = ReadAt;
  std::set<std::uint64_t> Registered;
  for (const serving::RegisteredTarget &T : Targets)
    if (T.StartTimeMs != 0)
      Registered.insert(deathId(T.Address, T.StartTimeMs));
  Known.dismissRegistered(Registered, ReadAt);
}

void PartQuarantineService::targetAlive(const std::string &Address,
                                        std::int64_t StartTimeMs) {
  if (!Known.empty())
    Known.dismiss(deathId(Address, StartTimeMs), BootClock::now());
}

bool PartQuarantineService::refuses(
    const PartQuarantine::Subject &Request) const {
  return Known.refuses(Request, BootClock::now());
}

void PartQuarantineService::addFromPeer(const wire::CrashIncident &Source,
                                        const std::string &Ip, BootTime Now) {
  PartQuarantine::Incident Report;
  Report.Death = Source.death();
  Report.Accused.Request = Source.request();
  for (const std::string &Part : Source.parts())
    if (Report.Accused.Parts.size() < MaxParts && Part.size() <= MaxPartBytes)
      Report.Accused.Parts.push_back(Part);
  Report.At = Now - milliseconds(Source.age_ms());
  Report.InProgress = milliseconds(Source.in_progress_ms());
  Report.AnswerBegun = Source.answer_begun();
  std::vector<std::string> Cleared = Known.clearedParts(Report);
  bool IsRequestCleared = Known.isRequestCleared(Report);
  if (!add(std::move(Report)) || (Cleared.empty() && !IsRequestCleared))
    return;
  // The others cannot know what was answered here. Only the sender is told, and
  // passes it on, so that not every gateway writes to every other.
  wire::NodeMessage Message;
  wire::CrashEvidence &Body = *Message.mutable_crash_evidence();
  addAnswered(Cleared, Now, Body);
  if (IsRequestCleared)
    addAnsweredWhole(Source.request(), Now, Body);
  Body.set_spread(true);
  Socket.send(Ip, std::move(Message));
}

bool PartQuarantineService::addAnswerFromPeer(const wire::AnsweredPart &Source,
                                              BootTime Now) {
  if (Source.part().size() > MaxPartBytes)
    return false;
  bool IsNews =
      !Known
           .recordAnswered({Source.part()}, Now - milliseconds(Source.age_ms()))
           .empty();
  if (Source.has_whole_age_ms())
    IsNews |=
        !Known
             .recordAnsweredWhole({Source.part()},
                                  Now - milliseconds(Source.whole_age_ms()))
             .empty();
  return IsNews;
}

void PartQuarantineService::addAnswersFromPeer(
    const wire::CrashEvidence &Source, BootTime Now) {
  std::vector<std::string> Parts;
  for (const wire::AnsweredPart &Answered : Source.answered())
    if (addAnswerFromPeer(Answered, Now))
      Parts.push_back(Answered.part());
  std::vector<std::uint64_t> Requests;
  for (const wire::AnsweredRequest &Answered : Source.answered_whole())
    if (Known.recordAnsweredWhole(Answered.request(),
                                  Now - milliseconds(Answered.age_ms())))
      Requests.push_back(Answered.request());
  if (!Source.spread())
    return;
  spreadAnswered(Parts, Now);
  spreadAnsweredWhole(Requests, Now);
}

void PartQuarantineService::received(const wire::NodeMessage &Message) {
  if (!Message.has_crash_evidence())
    return;
  BootTime Now = BootClock::now();
  const wire::CrashEvidence &Body = Message.crash_evidence();
  const std::string &Ip = Message.sender().ip();
  addAnswersFromPeer(Body, Now);
  for (const wire::CrashIncident &Source : Body.incidents())
    addFromPeer(Source, Ip, Now);
  if (Body.ask() && Body.digest() != Known.digest())
    tell(Ip, Now);
}

} // namespace rosemarylane
