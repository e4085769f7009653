#include "entry/AdminResponses.h"

#include "core/ConfigurationCodec.h"

#include <boost/json.hpp>

namespace rosemarylane {

namespace json = boost::json;

namespace {

std::string entityTag(std::uint64_t Revision) {
  return "\"" + std::to_string(Revision) + "\"";
}

http::Response problem(unsigned Status, json::object Body,
                       const std::string &Title) {
  Body["status"] = Status;
  Body["title"] = Title;
  http::Response Answer = http::jsonResponse(Status, json::serialize(Body));
  Answer.Head.Fields.set("Content-Type", "application/problem+json");
  return Answer;
}

json::array writeErrors(const core::DocumentErrors &Errors) {
  json::array List;
  for (const core::DocumentError &E : Errors)
    List.push_back(json::object{
        {"path", E.Path}, {"found", E.Found}, {"expected", E.Expected}});
  return List;
}

std::string versionHex(const std::string &Bytes) {
  auto Version = core::Digest::fromBytes(Bytes);
  return Version ? "sha256:" + Version->hex() : std::string();
}

json::object writeHolding(const wire::Holding &Held) {
  json::object Result{{"entry", Held.entry()},
                      {"serving", Held.serving()},
                      {"credits", Held.credits()},
                      {"in_progress", Held.in_progress()},
                      {"waiting", Held.waiting()}};
  if (!Held.version().empty())
    Result["version"] = versionHex(Held.version());
  if (!Held.fetching().empty()) {
    Result["fetching"] = versionHex(Held.fetching());
    Result["fetched_permille"] = Held.fetched_permille();
  }
  if (!Held.load_error().empty())
    Result["load_error"] = Held.load_error();
  return Result;
}

json::object writeMember(const core::Configuration &Config,
                         const MemberStatus &Status) {
  const wire::Sender &Member = Status.Member;
  json::array Holdings;
  std::uint32_t InProgress = 0;
  for (const wire::Holding &Held : Status.Holdings) {
    Holdings.push_back(writeHolding(Held));
    InProgress += Held.in_progress();
  }
  bool OutOfService =
      Config.isOutOfService(core::HostId(Member.host()),
                            core::FailureDomainId(Member.failure_domain()));
  return {{"host", Member.host()},
          {"role", Member.role() == wire::ROLE_AGENT ? "agent" : "entry"},
          {"region", Member.region()},
          {"failure_domain", Member.failure_domain()},
          {"revision", Status.Revision},
          {"alive", Status.Alive},
          {"draining", Status.Draining},
          {"out_of_service", OutOfService},
          {"in_progress", InProgress},
          {"holdings", std::move(Holdings)}};
}

struct RefusalFormat {
  unsigned Status;
  const char *Title;
  const char *Ran;
};

RefusalFormat formatOf(ChangeRefusal::Kind Type) {
  switch (Type) {
  case ChangeRefusal::Kind::Forbidden:
    return {403, "The workspace may not change the configuration", "no"};
  case ChangeRefusal::Kind::Conflict:
    return {412, "The configuration has changed in between", "no"};
  case ChangeRefusal::Kind::Invalid:
    return {422, "The document is wrong", "no"};
  case ChangeRefusal::Kind::Unavailable:
    return {503, "The store could not be reached; nothing was changed", "no"};
  case ChangeRefusal::Kind::Unknown:
    return {503,
            "The store's answer was lost; look for the change's id in "
            "the history",
            "unknown"};
  }
  return {500, "Internal error", "unknown"};
}

} // namespace

http::Response catalogueResponse(const core::Configuration &Visible) {
  http::Response Answer =
      http::jsonResponse(200, core::formatConfiguration(Visible));
  Answer.Head.Fields.set("ETag", entityTag(Visible.Revision));
  return Answer;
}

http::Response changeResponse(const core::StoredConfiguration &Stored,
                              const std::string &Id) {
  const core::ConfigurationChange *Applied = Stored.change(Id);
  json::array Summary;
  for (const std::string &Line : Applied->Summary)
    Summary.emplace_back(Line);
  json::object Body{{"revision", Applied->Revision},
                    {"change", Id},
                    {"summary", std::move(Summary)}};
  http::Response Answer = http::jsonResponse(200, json::serialize(Body));
  Answer.Head.Fields.set("ETag", entityTag(Applied->Revision));
  return Answer;
}

http::Response refusalResponse(const ChangeRefusal &Refusal,
                               const std::string &ChangeId) {
  RefusalFormat Format = formatOf(Refusal.Type);
  json::object Body{{"ran", Format.Ran}, {"change", ChangeId}};
  if (!Refusal.Detail.empty())
    Body["detail"] = Refusal.Detail;
  if (!Refusal.Errors.empty())
    Body["errors"] = writeErrors(Refusal.Errors);
  if (Refusal.Type == ChangeRefusal::Kind::Conflict)
    Body["current_revision"] = Refusal.CurrentRevision;
  http::Response Answer = problem(Format.Status, std::move(Body), Format.Title);
  if (Refusal.Type == ChangeRefusal::Kind::Conflict)
    Answer.Head.Fields.set("ETag", entityTag(Refusal.CurrentRevision));
  return Answer;
}

http::Response historyResponse(std::vector<core::ConfigurationChange> History) {
  return http::jsonResponse(
      200, "{\"history\":" + core::formatHistory(History) + "}");
}

http::Response statusResponse(const core::Configuration &Config,
                              const std::vector<MemberStatus> &Members) {
  json::array List;
  for (const MemberStatus &Status : Members)
    List.push_back(writeMember(Config, Status));
  json::object Body{{"revision", Config.Revision},
                    {"members", std::move(List)}};
  return http::jsonResponse(200, json::serialize(Body));
}

http::Response adminProblem(unsigned Status, const std::string &Title,
                            const std::string &Detail) {
  json::object Body{{"ran", "no"}};
  if (!Detail.empty())
    Body["detail"] = Detail;
  return problem(Status, std::move(Body), Title);
}

} // namespace rosemarylane
