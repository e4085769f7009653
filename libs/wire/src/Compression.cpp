#include "wire/Compression.h"

#include <algorithm>
#include <cstring>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace rosemarylane::wire {

namespace io = google::protobuf::io;

namespace {

constexpr int FastestLevel = 1;

} // namespace

std::string compress(std::string_view Bytes) {
  std::string Result;
  io::StringOutputStream Sink(&Result);
  io::GzipOutputStream::Options Options;
  Options.compression_level = FastestLevel;
  io::GzipOutputStream Packer(&Sink, Options);
  while (!Bytes.empty()) {
    void *Space = nullptr;
    int Size = 0;
    if (!Packer.Next(&Space, &Size))
      break;
    std::size_t Used = std::min(static_cast<std::size_t>(Size), Bytes.size());
    std::memcpy(Space, Bytes.data(), Used);
    Packer.BackUp(Size - static_cast<int>(Used));
    Bytes.remove_prefix(Used);
  }
  Packer.Close();
  return Result;
}

std::optional<std::string> decompress(std::string_view Compressed,
                                      std::size_t Size) {
  io::ArrayInputStream Source(Compressed.data(),
                              static_cast<int>(Compressed.size()));
  io::GzipInputStream Unpacker(&Source, io::GzipInputStream::GZIP);
  std::string Result;
  const void *Part = nullptr;
  int PartSize = 0;
  while (Unpacker.Next(&Part, &PartSize)) {
    std::size_t Bytes = static_cast<std::size_t>(PartSize);
    if (Bytes > Size - Result.size())
      return std::nullopt;
    Result.append(static_cast<const char *>(Part), Bytes);
  }
  // The unpacker does not tell input that was cut off from its end.
  if (Result.size() != Size)
    return std::nullopt;
  return Result;
}

} // namespace rosemarylane::wire
