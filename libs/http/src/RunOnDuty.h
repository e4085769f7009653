#ifndef ROSEMARYLANE_HTTP_RUN_ON_DUTY_H
#define ROSEMARYLANE_HTTP_RUN_ON_DUTY_H

#include "runtime/Duty.h"

namespace rosemarylane::http {

/// Runs \p Work on \p On and waits for its end; on the calling thread if the
/// duty has stopped. Not called on the duty itself.
void runOnDuty(runtime::Duty &On, const runtime::Duty::Task &Work);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_RUN_ON_DUTY_H
