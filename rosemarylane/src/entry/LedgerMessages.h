#ifndef ROSEMARYLANE_ENTRY_LEDGER_MESSAGES_H
#define ROSEMARYLANE_ENTRY_LEDGER_MESSAGES_H

#include "entry/LedgerService.h"
#include "ledger/Claim.h"
#include "wire/wire.pb.h"

namespace rosemarylane {

/// Conversions between the ledger library's types and the types of
/// `LedgerService`, the messages between entries, and the stored records.

ledger::Claim toClaim(const LedgerKey &Key, const ClaimedAttempt &Attempt,
                      core::WallTime Now);
ledger::OutcomeRecord toRecord(const LedgerKey &Key,
                               const ClaimedAttempt &Attempt,
                               const AttemptResult &Result);
ClaimOutcome toOutcome(const ledger::ClaimReply &Reply);

wire::LedgerRequest writeClaim(const ledger::Claim &NewClaim);
wire::LedgerRequest writeRecord(const ledger::OutcomeRecord &Result);
ledger::Claim readClaim(const wire::LedgerRequest &Request);
ledger::OutcomeRecord readRecord(const wire::LedgerRequest &Request);

wire::LedgerReply writeReply(const ledger::ClaimReply &Reply);
wire::LedgerReply writeReply(ledger::RecordReply Reply);
ledger::ClaimReply readClaimReply(const wire::LedgerReply &Reply);
ledger::RecordReply readRecordReply(const wire::LedgerReply &Reply);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_LEDGER_MESSAGES_H
