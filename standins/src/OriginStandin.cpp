#include "OriginStandin.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstring>
#include <random>

namespace rosemarylane::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t SliceBytes = 64 << 10;
constexpr std::size_t DefaultChunkBytes = 1 << 20;

std::string makeChunk(std::uint64_t Seed, std::size_t Bytes) {
  std::mt19937_64 Random(Seed);
  std::string Made(Bytes, '\0');
  for (std::size_t At = 0; At < Bytes; At += sizeof(std::uint64_t)) {
    std::uint64_t Word = Random();
    std::memcpy(Made.data() + At, &Word, std::min(sizeof(Word), Bytes - At));
  }
  return Made;
}

std::uint64_t number(const json::object &Object, std::string_view Name,
                     std::uint64_t Default) {
  const json::value *Field = Object.if_contains(Name);
  return Field ? Field->to_number<std::uint64_t>() : Default;
}

} // namespace

bool OriginStandin::handle(const Exchange &Call, Faults &Switches) {
  constexpr std::string_view ManifestPath = "/v1/manifests/";
  constexpr std::string_view ChunkPath = "/v1/chunks/";
  const std::string &Target = Call->request().Target;
  if (Target == "/v1/versions")
    registerVersion(Call);
  else if (Target.starts_with(ManifestPath))
    sendManifest(Call, Target.substr(ManifestPath.size()));
  else if (Target.starts_with(ChunkPath))
    sendChunk(Call, Target.substr(ChunkPath.size()),
              Switches.CorruptChunks.strike());
  else
    return false;
  return true;
}

void OriginStandin::registerVersion(const Exchange &Call) {
  json::value Parsed = json::parse(Call->request().Body);
  const json::object &Body = Parsed.as_object();
  std::size_t ChunkBytes = number(Body, "chunk_bytes", DefaultChunkBytes);
  std::size_t Total =
      number(Body, "bytes", ChunkBytes * number(Body, "chunks", 1));
  std::uint64_t Seed = number(Body, "seed", 1);
  json::array List;
  for (std::size_t At = 0; At < Total; At += ChunkBytes) {
    // Seeds of one version's chunks stay clear of those of other versions.
    ChunkSeed Chunk{(Seed << 32) + At / ChunkBytes,
                    std::min(ChunkBytes, Total - At)};
    std::string Hex =
        core::Digest::of(makeChunk(Chunk.Seed, Chunk.Bytes)).hex();
    Chunks[Hex] = Chunk;
    List.push_back(json::object{{"sha256", Hex}, {"bytes", Chunk.Bytes}});
  }
  std::string Manifest = json::serialize(json::object{
      {"name", Body.at("name").as_string()}, {"chunks", std::move(List)}});
  std::string Version = core::Digest::of(Manifest).hex();
  Manifests[Version] = std::move(Manifest);
  Call->respond(http::jsonResponse(
      200, json::serialize(json::object{{"digest", Version}})));
}

void OriginStandin::sendManifest(const Exchange &Call, const std::string &Hex) {
  auto Found = Manifests.find(Hex);
  if (Found == Manifests.end())
    return Call->respond(http::jsonResponse(404, "{}"));
  ++ManifestsSent;
  std::string Body = Found->second;
  if (Hex == Swapped)
    Body.insert(Body.find("\"name\":\"") + 8, "swapped-");
  send(Call, std::move(Body));
}

void OriginStandin::sendChunk(const Exchange &Call, const std::string &Hex,
                              bool Corrupt) {
  auto Found = Chunks.find(Hex);
  if (Found == Chunks.end())
    return Call->respond(http::jsonResponse(404, "{}"));
  ++ChunksSent;
  std::string Body = makeChunk(Found->second.Seed, Found->second.Bytes);
  if (Corrupt)
    Body[Body.size() / 2] ^= 1;
  send(Call, std::move(Body));
}

void OriginStandin::send(const Exchange &Call, std::string Body) {
  if (BytesPerSecond == 0) {
    BytesSent += Body.size();
    return Call->respond({{200, {{"Content-Type", "application/octet-stream"}}},
                          std::move(Body)});
  }
  Call->startStream({200, {{"Content-Type", "application/octet-stream"}}});
  sendSlice(Call, std::make_shared<const std::string>(std::move(Body)), 0);
}

void OriginStandin::sendSlice(const Exchange &Call,
                              const std::shared_ptr<const std::string> &Body,
                              std::size_t Offset) {
  std::size_t Bytes = std::min(SliceBytes, Body->size() - Offset);
  RunAfter(reserve(Bytes), [this, Call, Body, Offset, Bytes] {
    BytesSent += Bytes;
    Call->write(Body->substr(Offset, Bytes));
    if (Offset + Bytes < Body->size())
      sendSlice(Call, Body, Offset + Bytes);
    else
      Call->finish();
  });
}

std::chrono::nanoseconds OriginStandin::reserve(std::size_t Bytes) {
  auto Now = std::chrono::steady_clock::now();
  auto Takes = std::chrono::nanoseconds(Bytes * 1'000'000'000 / BytesPerSecond);
  LinkFree = std::max(LinkFree, Now) + Takes;
  return LinkFree - Now;
}

json::object OriginStandin::counters() const {
  return {{"origin_bytes", BytesSent},
          {"manifests", ManifestsSent},
          {"chunks", ChunksSent}};
}

} // namespace rosemarylane::standins
