#ifndef ROSEMARYLANE_RUNTIME_FREED_MEMORY_H
#define ROSEMARYLANE_RUNTIME_FREED_MEMORY_H

namespace rosemarylane::runtime {

/// Gives the memory of large blocks, such as the bodies of requests, back to
/// the machine as soon as they are freed. Otherwise the allocator keeps them
/// after a while, in pieces that the next ones may not fit. Called once, before
/// other threads start; does nothing where the allocator is another one.
void returnFreedMemory();

} // namespace rosemarylane::runtime

#endif // ROSEMARYLANE_RUNTIME_FREED_MEMORY_H
