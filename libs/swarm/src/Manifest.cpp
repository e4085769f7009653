#include "swarm/Manifest.h"

#include <boost/json.hpp>
#include <unordered_set>

namespace rosemarylane::swarm {

namespace json = boost::json;

namespace {

core::Result<ManifestChunk, ManifestError> parseChunk(const json::value &Value,
                                                      std::size_t Index) {
  auto Fail = [&](const char *Expected) {
    return core::failure(ManifestError{"$.chunks[" + std::to_string(Index) +
                                       "]: expected " + Expected});
  };
  const json::object *Fields = Value.if_object();
  if (!Fields)
    return Fail("an object");
  const json::value *Id = Fields->if_contains("sha256");
  const json::value *Bytes = Fields->if_contains("bytes");
  if (!Id || !Id->is_string())
    return Fail("a string `sha256`");
  auto Parsed = core::Digest::parse(Id->get_string());
  if (!Parsed || Parsed->none())
    return Fail("64 hexadecimal digits in `sha256`");
  if (!Bytes || !Bytes->is_int64() || Bytes->get_int64() <= 0 ||
      static_cast<std::uint64_t>(Bytes->get_int64()) > Manifest::MaxChunkBytes)
    return Fail("an integer from 1 to 8388608 in `bytes`");
  return ManifestChunk{*Parsed, static_cast<std::uint64_t>(Bytes->get_int64())};
}

} // namespace

core::Result<Manifest, ManifestError> Manifest::parse(std::string_view Json) {
  auto Fail = [](std::string Detail) {
    return core::failure(ManifestError{std::move(Detail)});
  };
  boost::system::error_code Error;
  json::value Document = json::parse(Json, Error);
  if (Error)
    return Fail("not JSON: " + Error.message());
  const json::object *Fields = Document.if_object();
  if (!Fields)
    return Fail("$: expected an object");
  const json::value *Name = Fields->if_contains("name");
  if (!Name || !Name->is_string())
    return Fail("$.name: expected a string");
  const json::value *Chunks = Fields->if_contains("chunks");
  if (!Chunks || !Chunks->is_array() || Chunks->get_array().empty() ||
      Chunks->get_array().size() > MaxChunks)
    return Fail("$.chunks: expected an array whose length is 1 to " +
                std::to_string(MaxChunks));
  Manifest Result;
  Result.Name = std::string(Name->get_string());
  for (const json::value &Value : Chunks->get_array()) {
    auto Chunk = parseChunk(Value, Result.Chunks.size());
    if (!Chunk)
      return core::failure(Chunk.error());
    Result.Chunks.push_back(*Chunk);
  }
  return Result;
}

core::Result<Manifest, ManifestError>
Manifest::parseVersion(const core::Digest &Version, std::string_view Json) {
  if (core::Digest::of(Json) != Version)
    return core::failure(
        ManifestError{"the digest of the manifest does not match the version"});
  return parse(Json);
}

std::string Manifest::format() const {
  json::array List;
  for (const ManifestChunk &Chunk : Chunks)
    List.push_back(json::object{{"sha256", Chunk.Id.hex()},
                                {"bytes", std::int64_t(Chunk.Bytes)}});
  return json::serialize(
      json::object{{"name", Name}, {"chunks", std::move(List)}});
}

std::vector<ManifestChunk> Manifest::distinctChunks() const {
  std::vector<ManifestChunk> Result;
  std::unordered_set<core::Digest> Seen;
  for (const ManifestChunk &Chunk : Chunks)
    if (Seen.insert(Chunk.Id).second)
      Result.push_back(Chunk);
  return Result;
}

std::uint64_t Manifest::totalBytes() const {
  std::uint64_t Total = 0;
  for (const ManifestChunk &Chunk : Chunks)
    Total += Chunk.Bytes;
  return Total;
}

} // namespace rosemarylane::swarm
