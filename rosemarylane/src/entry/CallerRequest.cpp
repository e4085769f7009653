#include "entry/CallerRequest.h"

#include "core/Rendezvous.h"

#include <boost/json.hpp>

namespace rosemarylane {

namespace json = boost::json;

namespace {

constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
/// Length of the prompt's prefix; requests with the same prefix go to the same
/// target where possible.
constexpr std::size_t PrefixBytes = 512;
constexpr std::size_t MaxKeyBytes = 255;

Problem malformed(std::string Detail) {
  return {ProblemKind::Malformed, ledger::Ran::No, std::move(Detail), {}};
}

bool isCompletion(std::string_view Path) {
  return Path == "/v1/chat/completions" || Path == "/v1/completions";
}

std::uint64_t prefixHash(const json::object &Body) {
  const json::value *Prompt = Body.if_contains("messages");
  if (!Prompt)
    Prompt = Body.if_contains("prompt");
  if (!Prompt)
    return 0;
  std::string Text = json::serialize(*Prompt);
  return core::rendezvousWeight("prefix",
                                std::string_view(Text).substr(0, PrefixBytes));
}

core::Result<CallerRequest, Problem>
parseCompletion(const http::Request &Request) {
  if (Request.Method != "POST")
    return core::failure(malformed("completions take POST"));
  boost::system::error_code Error;
  json::value Body = json::parse(Request.Body, Error);
  if (Error)
    return core::failure(
        malformed("$: the body is not JSON: " + Error.message()));
  if (!Body.is_object())
    return core::failure(malformed("$: expected an object"));
  const json::value *Model = Body.as_object().if_contains("model");
  if (!Model || !Model->is_string())
    return core::failure(malformed("$.model: expected the name of an entry"));
  CallerRequest Parsed;
  Parsed.Entry = core::EntryName(std::string(Model->as_string()));
  Parsed.TargetPath = Request.Target;
  if (const json::value *Stream = Body.as_object().if_contains("stream")) {
    if (!Stream->is_bool())
      return core::failure(malformed("$.stream: expected a boolean"));
    Parsed.Stream = Stream->as_bool();
  }
  Parsed.PrefixHash = prefixHash(Body.as_object());
  return Parsed;
}

core::Result<CallerRequest, Problem>
parseServiceCall(const http::Request &Request) {
  std::string_view Rest =
      std::string_view(Request.Target).substr(ServicesPrefix.size());
  std::size_t End = Rest.find_first_of("/?");
  CallerRequest Parsed;
  Parsed.Entry = core::EntryName(std::string(Rest.substr(0, End)));
  if (Parsed.Entry.empty())
    return core::failure(malformed("the path names no service"));
  std::string_view Path =
      End == std::string_view::npos ? "/" : Rest.substr(End);
  Parsed.TargetPath = (Path.front() == '?' ? "/" : "") + std::string(Path);
  Parsed.SafeMethod = Request.Method == "GET" || Request.Method == "HEAD" ||
                      Request.Method == "OPTIONS";
  return Parsed;
}

core::Digest requestDigest(const http::Request &Request) {
  std::string Text = Request.Method + " " + Request.Target + "\n";
  return core::Digest::of(Text + Request.Body);
}

} // namespace

core::Digest bearerTokenDigest(const http::Request &Request) {
  auto Field = Request.Fields.find("Authorization");
  if (!Field || Field->substr(0, BearerPrefix.size()) != BearerPrefix)
    return {};
  return core::Digest::of(Field->substr(BearerPrefix.size()));
}

core::Result<CallerRequest, Problem>
parseCallerRequest(const http::Request &Request) {
  std::string_view Path = Request.Target;
  bool Service = Path.substr(0, ServicesPrefix.size()) == ServicesPrefix;
  if (!Service && !isCompletion(Path.substr(0, Path.find('?'))))
    return core::failure(Problem{
        ProblemKind::UnknownEntry, ledger::Ran::No, "no such path", {}});
  auto Parsed = Service ? parseServiceCall(Request) : parseCompletion(Request);
  if (!Parsed)
    return Parsed;
  Parsed->TokenDigest = bearerTokenDigest(Request);
  Parsed->Digest = requestDigest(Request);
  if (auto Key = Request.Fields.find("Idempotency-Key")) {
    if (Key->empty() || Key->size() > MaxKeyBytes)
      return core::failure(
          malformed("Idempotency-Key: expected 1 to 255 bytes"));
    Parsed->IdempotencyKey = *Key;
  }
  return Parsed;
}

} // namespace rosemarylane
