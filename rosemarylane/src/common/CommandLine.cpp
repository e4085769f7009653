#include "common/CommandLine.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace rosemarylane {

core::Result<std::string, std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Contents;
  if (!File || !(Contents << File.rdbuf()))
    return core::failure(Path + ": " + std::strerror(errno));
  return std::move(Contents).str();
}

} // namespace rosemarylane
