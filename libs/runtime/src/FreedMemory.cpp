#include "runtime/FreedMemory.h"

#include <cstdlib>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace rosemarylane::runtime {

void returnFreedMemory() {
#ifdef __GLIBC__
  /// Blocks from this size on are mapped by themselves.
  constexpr int LargeBlockBytes = 128 << 10;
  // A failure is ignored: the allocator then goes on as it does by itself.
  (void)mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
#endif
}

} // namespace rosemarylane::runtime
